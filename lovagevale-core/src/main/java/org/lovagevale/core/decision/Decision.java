package org.lovagevale.core.decision;

/**
 * An action that the decision logic tells an entry process to carry out.
 */
public sealed interface Decision permits ReadPrefix, Dispatch, PassOn, CancelAttempt, Refuse, Replay, AbortAnswer,
		SendToPeer, KeepLinks, ReadSettings, ReadVmList, ApplySettings, Probe, AnswerAddresses, AnswerOutcome,
		RecordAudit, StopAccepting, Exit {

}
