package org.lovagevale.settings;

/**
 * The kinds of change between two versions of the settings.
 */
public enum ChangeKind {

	/** It is new in the tree. */
	ADDED,

	/** It is no longer in the tree. */
	REMOVED,

	/** It was taken out of service. */
	OUT,

	/** It was brought back into service. */
	BACK,

	/** It receives no new work while running work completes. */
	DRAINED,

	/** It receives new work again. */
	UNDRAINED,

	/** Its failure domain, address or port differs. */
	MOVED,

	/** One of its values differs. */
	CHANGED

}
