package org.lovagevale.core.event;

/**
 * An event in an entry process that the decision logic handles.
 */
public sealed interface Event permits HeadArrived, PrefixArrived, AnswerHeadArrived, AnswerEnded, AttemptFailed,
		CallerGone, SettingsReceived, SettingsConfirmed, SettingsUnavailable, VmListReceived, PeerMessageReceived,
		PeerConnected, PeerRefused, PeerLost, ProbeEnded, AddressesAsked, OutcomeAsked, StopRequested, Ticked {

}
