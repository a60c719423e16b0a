package org.lovagevale.core.fleet;

/**
 * The quarantine status of a fingerprint.
 */
public enum SuspectStatus {

	/** No crash is known. */
	CLEAR,

	/** It crashed a backend server; one trial may run. */
	SUSPECT,

	/** It crashed a backend server, and a trial is running on some VM. */
	ON_TRIAL,

	/** It crashed as many backend servers as the settings allow. */
	QUARANTINED

}
