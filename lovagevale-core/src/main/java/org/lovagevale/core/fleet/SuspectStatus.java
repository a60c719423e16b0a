package org.lovagevale.core.fleet;

/**
 * What is known about a fingerprint.
 */
public enum SuspectStatus {

	/** No crash is known. */
	CLEAR,

	/** It crashed a backend server; one trial may run. */
	SUSPECT,

	/** It crashed a backend server, and a trial is running somewhere. */
	ON_TRIAL,

	/** It crashed as many backend servers as are allowed. */
	QUARANTINED

}
