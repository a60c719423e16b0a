package org.lovagevale.core.placing;

/**
 * Tells whether the caller of a request was rejected before and returned as it was told.
 *
 * <p>
 * Immutable and thread-safe.
 */
enum CallerReturn {

	/** The caller was not rejected, or returned at another time. */
	NONE,

	/** The caller returned as it was told, but no room could be kept for it. */
	UNPLANNED,

	/** The caller returned as it was told, and room was kept for it. */
	PLANNED

}
