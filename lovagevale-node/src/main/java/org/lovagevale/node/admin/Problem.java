package org.lovagevale.node.admin;

/**
 * The response to a request that the admin port cannot serve.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param message what is wrong and how to correct it
 */
record Problem(String message) {
}
