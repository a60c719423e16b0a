package org.lovagevale.core.request;

import java.util.Locale;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.RequestHead;
import org.lovagevale.core.SelectionReason;
import org.lovagevale.core.decision.AbortAnswer;
import org.lovagevale.core.decision.CancelAttempt;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.PassOn;
import org.lovagevale.core.decision.Probe;
import org.lovagevale.core.decision.ReadPrefix;
import org.lovagevale.core.decision.RecordAudit;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.decision.Replay;
import org.lovagevale.core.event.AnswerEnded;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;
import org.lovagevale.core.event.CallerGone;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.PrefixArrived;
import org.lovagevale.core.event.ProbeEnded;

/**
 * Formats each event and decision as a line of text.
 */
final class LineFormatter {

	private LineFormatter() {
	}

	static String format(Event event) {
		return switch (event) {
			case HeadArrived e -> "head " + e.id() + " " + format(e.head());
			case PrefixArrived e -> "prefix " + e.id() + " " + e.fingerprint();
			case AnswerHeadArrived e -> "answer " + e.id() + "/" + e.attempt() + " " + e.status()
					+ ((e.notRun()) ? " not-run " : " ") + format(e.report());
			case AnswerEnded e -> "answer-end " + e.id() + "/" + e.attempt();
			case AttemptFailed e -> "failed " + e.id() + "/" + e.attempt() + " " + e.kind();
			case CallerGone e -> "caller-gone " + e.id();
			case ProbeEnded e -> "probe-end " + e.server() + " " + format(e.report());
			default -> event.getClass().getSimpleName().toLowerCase(Locale.ROOT);
		};
	}

	private static String format(RequestHead head) {
		return head.method() + " " + head.path() + " account=" + head.account() + " key=" + head.key();
	}

	private static String format(@Nullable LoadReport report) {
		return (report != null) ? report.inFlight() + "/" + report.slots() + " " + report.state() + " " + report.boot()
				: "no-report";
	}

	static String format(Decision decision) {
		return switch (decision) {
			case ReadPrefix d -> "read-prefix " + d.id() + " " + d.maxPrefixBytes();
			case Dispatch d -> "dispatch " + d.id() + "/" + d.attempt() + " " + d.server().name() + " timeout="
					+ d.timeoutMs() + " deadline=" + d.deadlineEpochMillis() + " retried=" + d.retried() + " "
					+ format(d.selectionReason());
			case PassOn d -> "pass-on " + d.id() + "/" + d.attempt() + " store=" + d.maxStoredBytes();
			case CancelAttempt d -> "cancel " + d.id() + "/" + d.attempt();
			case Refuse d -> "refuse " + d.id() + " " + d.refusal().reason() + " " + d.refusal().outcome() + " retry="
					+ d.refusal().retryAfterMs();
			case Replay d -> "replay " + d.id() + " " + d.answer().status();
			case AbortAnswer d -> "abort " + d.id();
			case Probe d -> "probe " + d.server().name() + " timeout=" + d.timeoutMs();
			case RecordAudit d -> "audit " + d.entry().event() + " " + d.entry().fields();
			default -> throw new IllegalArgumentException("unexpected decision " + decision);
		};
	}

	private static String format(SelectionReason choice) {
		return String.format(Locale.ROOT, "%s %d/%d %.2f %.2f", choice.rule(), choice.usable(), choice.servers(),
				choice.score(), choice.runnerUpScore());
	}

}
