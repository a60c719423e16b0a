package org.lovagevale.node.admin;

/**
 * The response to a request that the admin port cannot serve.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param message what is wrong and what to do
 */
record Problem(String message) {
}
