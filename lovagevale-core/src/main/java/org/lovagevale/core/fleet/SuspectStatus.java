package org.lovagevale.core.fleet;

/**
 * The quarantine status of a request, which is identified by its fingerprint.
 */
public enum SuspectStatus {

	/** No crash is known. */
	CLEAR,

	/** The request crashed a backend server; one trial may run. */
	SUSPECT,

	/** The request crashed a backend server, and a trial is running on some VM. */
	ON_TRIAL,

	/** The request crashed as many backend servers as the settings allow. */
	QUARANTINED

}
