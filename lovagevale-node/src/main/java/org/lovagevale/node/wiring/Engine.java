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
 * Serializes access to the decision logic and dispatches its decisions to their handlers.
 *
 * <p>
 * Invariant: decisions are queued under the lock and executed outside it; the decisions
 * of one request are executed in the order in which they were made. Thread-safe.
 */
public final class Engine {

	private static final Logger LOG = LoggerFactory.getLogger(Engine.class);

	private final ReentrantLock lock = new ReentrantLock();

	private final Map<RequestId, Mailbox> requestMailboxes = new ConcurrentHashMap<>();

	private final DecisionLogic logic;

	private final Consumer<Decision> observer;

	private final Mailbox processMailbox;

	/**
	 * Creates an engine.
	 * @param logic the decision logic, accessed only through this engine
	 * @param observer receives each decision in order while the lock is held; it must
	 * return without blocking
	 * @param handler executes the decisions that belong to no request
	 */
	public Engine(DecisionLogic logic, Consumer<Decision> observer, Consumer<Decision> handler) {
		this.logic = logic;
		this.observer = observer;
		this.processMailbox = new Mailbox(Runnable::run, handler);
	}

	/**
	 * Registers the handler for the decisions of a request.
	 * @param id the request
	 * @param executor runs the handler
	 * @param handler executes the decisions
	 */
	public void register(RequestId id, Executor executor, Consumer<Decision> handler) {
		this.requestMailboxes.put(id, new Mailbox(executor, handler));
	}

	/**
	 * Removes the handler of a request. Further decisions of the request are dropped.
	 * @param id the request
	 */
	public void unregister(RequestId id) {
		this.requestMailboxes.remove(id);
	}

	/**
	 * Returns the number of registered requests.
	 * @return the number of requests whose response is not complete
	 */
	public int openRequestCount() {
		return this.requestMailboxes.size();
	}

	/**
	 * Passes an event to the decision logic and executes the resulting decisions.
	 * @param event the event
	 */
	public void apply(Event event) {
		List<Mailbox> mailboxes = new ArrayList<>(2);
		this.lock.lock();
		try {
			for (Decision decision : decide(event)) {
				enqueue(decision, mailboxes);
			}
		}
		finally {
			this.lock.unlock();
		}
		mailboxes.forEach(Mailbox::run);
	}

	/**
	 * Returns the status of the process for operators.
	 * @return the status
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
			// An event that triggers a fault must not stop the ticker thread or an event
			// loop.
			LOG.error("{}", LogLine.event("logic.failed").with("input", event.getClass().getSimpleName()), ex);
			RequestId id = EventIds.requestOf(event);
			return (id != null) ? List.of(new AbortAnswer(id)) : List.of();
		}
	}

	private void enqueue(Decision decision, List<Mailbox> mailboxes) {
		this.observer.accept(decision);
		RequestId id = requestOf(decision);
		Mailbox mailbox = (id != null) ? this.requestMailboxes.get(id) : this.processMailbox;
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
