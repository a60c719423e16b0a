package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One server answers two requests with bytes that are no answer and have no end. A
 * process that has closed those channels must go on serving.
 */
public final class Case1 {

	private static final int SPOILED_ANSWERS = 2;

	private static final int SOUND_SERVERS = 12;

	private static final int CLIENTS = 100;

	private static final long TIME_BUDGET_MS = 4_000;

	private static final long TRAFFIC_MS = 15_000;

	/** Timeout of the routes. */
	private static final long TIMEOUT_MS = 2_000;

	/** The rule counts requests that have no answer this long after the timeout. */
	private static final long SLACK_MS = 500;

	/** Fewer requests than this without an answer at their timeout aren't counted. */
	private static final int MIN_LATE = 8;

	private static final Map<String, BackEnd> RAN_AT = new ConcurrentHashMap<>();

	private static final AtomicInteger SENT = new AtomicInteger();

	private static final AtomicInteger SERVED = new AtomicInteger();

	/** Requests that had no answer and an open channel at the timeout of their route. */
	private static final AtomicInteger UNANSWERED_AT_TIMEOUT = new AtomicInteger();

	/** Those of them that had no answer half a second later. */
	private static final AtomicInteger UNANSWERED_LATER = new AtomicInteger();

	private static final AtomicInteger CLOSED = new AtomicInteger();

	private static final AtomicInteger FAILED = new AtomicInteger();

	private static final AtomicInteger SILENT = new AtomicInteger();

	private Case1() {
	}

	public static void main(String[] arguments) {
		Lab.run(arguments, Case1::run);
	}

	private static boolean run() throws Exception {
		Store store = new Store();
		List<BackEnd> faulty = List.of(new BackEnd("i-faulty-0", "transfers", 3),
				new BackEnd("i-faulty-1", "transfers", 3));
		for (int i = 0; i < SOUND_SERVERS; i++) {
			publish(store, new BackEnd("i-balances-" + i, "balances", 3));
		}
		for (int i = 0; i < SOUND_SERVERS / 6; i++) {
			publish(store, new BackEnd("i-transfers-" + i, "transfers", 3));
		}
		Deployment.configure(store, 7, "balances", "transfers", TIMEOUT_MS);
		for (BackEnd server : faulty) {
			store.put("servers/" + server.id(), server.entry("colombo-a", "ready", 1));
		}
		Gateway gateway = new Gateway("edge-1");
		gateway.start("colombo-a", Deployment.ZONES, List.of(gateway.control()), store, true);
		gateway.awaitReady();
		Lab.sleep(2_000);
		if (Lab.TROUBLE) {
			faulty.forEach(Case1::spoilFirstAnswers);
		}
		for (int i = 0; i < 12; i++) {
			String id = Client.newId();
			Client.Answer answer = Client.exchange(gateway, "POST", Deployment.WRITE + id, Deployment.HOST, id, 1_000);
			Lab.note("night: id=" + id + " " + answer);
			Lab.sleep(400);
		}
		faulty.forEach((server) -> server.behave((request) -> request.answer("sound again")));
		Lab.sleep(4_000);
		Lab.note("traffic begins");
		List<Thread> clients = new ArrayList<>();
		long end = Lab.millis() + TRAFFIC_MS;
		for (int i = 0; i < CLIENTS; i++) {
			clients.add(Thread.ofVirtual().start(() -> {
				while (Lab.millis() < end) {
					useChannel(gateway, end);
				}
			}));
		}
		for (Thread client : clients) {
			client.join();
		}
		Lab.note("sent " + SENT + ", served " + SERVED + ", other answers " + FAILED + ", closed " + CLOSED
				+ ", no answer within the time budget " + SILENT);
		Lab.note("unanswered at the timeout of the route: " + UNANSWERED_AT_TIMEOUT + ", half a second later: "
				+ UNANSWERED_LATER);
		Lab.note("process alive: " + gateway.isAlive() + ", ready: " + gateway.isReady());
		boolean late = UNANSWERED_AT_TIMEOUT.get() >= MIN_LATE
				&& UNANSWERED_LATER.get() * 2 > UNANSWERED_AT_TIMEOUT.get();
		return !late && gateway.isAlive();
	}

	private static void publish(Store store, BackEnd server) {
		server.behave((request) -> {
			RAN_AT.put(request.requestId(), server);
			Lab.sleep(60);
			request.answer("b".repeat(request.path().contains("large") ? 540_000 : 1_500));
		});
		store.put("servers/" + server.id(), server.entry("colombo-a", "ready", 1));
	}

	private static void spoilFirstAnswers(BackEnd server) {
		AtomicInteger answers = new AtomicInteger();
		server.behave((request) -> {
			if (answers.incrementAndGet() <= SPOILED_ANSWERS) {
				answerWithoutEnd(request);
			}
			else {
				request.answer("sound again");
			}
		});
	}

	private static void useChannel(Gateway gateway, long end) {
		try (Client.Channel channel = new Client.Channel(gateway.host(), gateway.frontPort(), 1_000)) {
			for (int i = 0; Lab.millis() < end; i++) {
				String id = Client.newId();
				long sentAt = Lab.millis();
				SENT.incrementAndGet();
				channel.write(Client.head("GET", Deployment.READ + ((i % 4 == 0) ? "large/" : "small/") + id, Deployment.HOST,
						id, TIME_BUDGET_MS, -1));
				Client.Answer answer = channel.read(TIME_BUDGET_MS);
				Lab.detail("id=" + id + " " + answer + " ran at "
						+ (RAN_AT.containsKey(id) ? RAN_AT.get(id).id() : "none") + " tookMs=" + (Lab.millis() - sentAt));
				if (!count(answer, Lab.millis() - sentAt) || answer.closesChannel()) {
					return;
				}
				Lab.sleep(100);
			}
		}
		catch (IOException ex) {
			Lab.detail("channel not open: " + ex.getMessage());
			Lab.sleep(100);
		}
	}

	private static boolean count(Client.Answer answer, long tookMs) {
		if (tookMs > TIMEOUT_MS) {
			UNANSWERED_AT_TIMEOUT.incrementAndGet();
		}
		if (tookMs > TIMEOUT_MS + SLACK_MS) {
			UNANSWERED_LATER.incrementAndGet();
		}
		switch (answer.status()) {
			case Client.NO_ANSWER -> SILENT.incrementAndGet();
			case Client.CLOSED -> CLOSED.incrementAndGet();
			case 200 -> SERVED.incrementAndGet();
			default -> FAILED.incrementAndGet();
		}
		return answer.status() > 0;
	}

	private static void answerWithoutEnd(BackEnd.Request request) throws IOException {
		byte[] bytes = new byte[65_536];
		Arrays.fill(bytes, (byte) 'x');
		long sent = 0;
		try {
			request.write("HTTP/1.1 101 Switching Protocols\r\n" + Http.ID + ": " + request.requestId() + "\r\n\r\n");
			while (true) {
				request.socket().getOutputStream().write(bytes);
				sent += bytes.length;
			}
		}
		finally {
			Lab.note("a faulty server sent " + sent + " bytes that are no answer, until the caller closed");
		}
	}

}
