package org.lovagevale.node.wiring;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.core.DecisionLogic;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.Status;
import org.lovagevale.core.decision.AbortAnswer;
import org.lovagevale.core.decision.AnswerAddresses;
import org.lovagevale.core.decision.AnswerOutcome;
import org.lovagevale.core.decision.CancelAttempt;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.PassOn;
import org.lovagevale.core.decision.ReadPrefix;
import org.lovagevale.core.decision.Refuse;
import org.lovagevale.core.decision.Replay;
import org.lovagevale.core.event.Event;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serializes the decision logic and hands its decisions to those who carry them out.
 *
 * <p>
 * Invariant: decisions are queued under the lock and carried out outside it, those of one
 * request in the order in which they were made. Thread-safe.
 */
public final class Engine {

	private static final Logger LOG = LoggerFactory.getLogger(Engine.class);

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<RequestId, Mailbox> requests = new ConcurrentHashMap<>();

	private final DecisionLogic logic;

	private final Consumer<Decision> observer;

	private final Mailbox process;

	/**
	 * Creates an engine.
	 * @param logic the decision logic, used by nobody else
	 * @param observer sees each decision in order while the lock is held; it must return
	 * at once
	 * @param handler carries out decisions that belong to no request
	 */
	public Engine(DecisionLogic logic, Consumer<Decision> observer, Consumer<Decision> handler) {
		this.logic = logic;
		this.observer = observer;
		this.process = new Mailbox(Runnable::run, handler);
	}

	/**
	 * Registers who carries out the decisions of a request.
	 * @param id the request
	 * @param executor where they are carried out
	 * @param handler carries them out
	 */
	public void open(RequestId id, Executor executor, Consumer<Decision> handler) {
		this.requests.put(id, new Mailbox(executor, handler));
	}

	/**
	 * Drops further decisions of a request.
	 * @param id the request
	 */
	public void close(RequestId id) {
		this.requests.remove(id);
	}

	/**
	 * Returns the number of registered requests.
	 * @return the number of requests whose answer is not complete
	 */
	public int open() {
		return this.requests.size();
	}

	/**
	 * Passes an event to the decision logic and has its decisions carried out.
	 * @param event the event
	 */
	public void apply(Event event) {
		List<Mailbox> mailboxes = new ArrayList<>(2);
		this.lock.lock();
		try {
			for (Decision decision : decide(event)) {
				post(decision, mailboxes);
			}
		}
		finally {
			this.lock.unlock();
		}
		mailboxes.forEach(Mailbox::run);
	}

	/**
	 * Returns the summary for operators.
	 * @return the summary
	 */
	public Status status() {
		this.lock.lock();
		try {
			return this.logic.status();
		}
		finally {
			this.lock.unlock();
		}
	}

	private List<Decision> decide(Event event) {
		try {
			return this.logic.apply(event);
		}
		catch (RuntimeException ex) {
			// One faulty event must not stop the thread that ticks or reads a connection.
			LOG.error("{}", LogLine.event("logic.failed").with("input", event.getClass().getSimpleName()), ex);
			RequestId id = EventIds.requestOf(event);
			return (id != null) ? List.of(new AbortAnswer(id)) : List.of();
		}
	}

	private void post(Decision decision, List<Mailbox> mailboxes) {
		this.observer.accept(decision);
		RequestId id = requestOf(decision);
		Mailbox mailbox = (id != null) ? this.requests.get(id) : this.process;
		if (mailbox != null) {
			mailbox.add(decision);
			mailboxes.add(mailbox);
		}
	}

	private static @Nullable RequestId requestOf(Decision decision) {
		return switch (decision) {
			case ReadPrefix d -> d.id();
			case Dispatch d -> d.id();
			case PassOn d -> d.id();
			case CancelAttempt d -> d.id();
			case Refuse d -> d.id();
			case Replay d -> d.id();
			case AbortAnswer d -> d.id();
			case AnswerAddresses d -> d.id();
			case AnswerOutcome d -> d.id();
			default -> null;
		};
	}

}
