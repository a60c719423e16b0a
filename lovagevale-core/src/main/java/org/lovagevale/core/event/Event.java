package org.lovagevale.core.event;

/**
 * Something that an entry process observed.
 */
public sealed interface Event permits HeadArrived, PrefixArrived, AnswerHeadArrived, AnswerEnded, AttemptFailed,
		CallerGone, SettingsReceived, SettingsConfirmed, SettingsUnavailable, VmListReceived, PeerMessageReceived,
		PeerConnected, PeerRefused, PeerLost, ProbeEnded, AddressesAsked, OutcomeAsked, StopRequested, Ticked {

}
