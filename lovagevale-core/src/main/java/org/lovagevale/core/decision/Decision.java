package org.lovagevale.core.decision;

/**
 * Something that an entry process is to do.
 */
public sealed interface Decision permits ReadPrefix, Dispatch, PassOn, CancelAttempt, Refuse, Replay, AbortAnswer,
		SendToPeer, KeepLinks, ReadSettings, ReadVmList, ApplySettings, Probe, AnswerAddresses, AnswerOutcome,
		RecordAudit, StopAccepting, Exit {

}
