package org.lovagevale.standins.platform;

/**
 * The state of a VM in the VM list.
 */
public enum VmState {

	/** Running. */
	LIVE,

	/** About to be stopped. */
	LEAVING,

	/** No longer in the list. */
	GONE

}
