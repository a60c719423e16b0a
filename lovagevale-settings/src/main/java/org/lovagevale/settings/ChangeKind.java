package org.lovagevale.settings;

/**
 * The kinds of change between two versions of the settings.
 */
public enum ChangeKind {

	/** The subject is new in the tree. */
	ADDED,

	/** The subject is no longer in the tree. */
	REMOVED,

	/** The subject was taken out of service. */
	OUT,

	/** The subject was brought back into service. */
	BACK,

	/** The subject receives no new work while running work completes. */
	DRAINED,

	/** The subject receives new work again. */
	UNDRAINED,

	/** The region, failure domain, address or port of the subject differs. */
	MOVED,

	/** Another value of the subject differs. */
	CHANGED

}
