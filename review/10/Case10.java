import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of five servers answer one in twenty requests with a sound head and a body without
 * end, three times for 5 s.
 */
final class Case10 {

	private static final long TIMEOUT_MS = 2_000;

	private static final long GRACE_MS = 500;

	private static final long CLIENT_MS = 4_000;

	private static final int REQUESTS = 800;

	private static final int ONE_IN = 20;

	private static final long FAULTY_MS = 5_000;

	private static final long PAUSE_MS = 500;

	private static volatile long begin = Long.MAX_VALUE;

	private static final ConcurrentHashMap<String, String> ENDLESS = new ConcurrentHashMap<>();

	public static void main(String[] args) {
		Lab.main(args, Case10::run);
	}

	private static boolean run(Lab lab) throws Exception {
		lab.zones.put("a-1", "a");
		lab.zones.put("a-2", "a");
		lab.store.put("op/config",
				Lab.config(7,
						List.of(Lab.route("view", "pots.example", "/view/", "idempotent", "balances", "2s", 3)),
						List.of(Lab.service("balances")), Lab.LIMITS));
		lab.addGateway("edge-1", "a-1");
		lab.addGateway("edge-2", "a-2");
		for (int i = 1; i <= 5; i++) {
			AtomicInteger answers = new AtomicInteger();
			Lab.Server server = lab.addServer("i-" + i, "balances", "a-" + (i % 2 + 1), 3);
			if (i <= 3) {
				server.behaviour = (request, out, socket) -> isFaulty(lab, answers)
						&& sendsWithoutEnd(server, request, out);
			}
			server.publish();
		}
		lab.startGateways();
		Thread.sleep(5_000);
		begin = lab.now();
		List<Thread> calls = new ArrayList<>();
		List<String> late = new ArrayList<>();
		List<String> overdue = new ArrayList<>();
		for (int i = 0; i < REQUESTS; i++) {
			Lab.Gateway gateway = lab.gateways.get(i % 2);
			String id = "view-" + i;
			calls.add(Thread.ofPlatform().start(() -> {
				long sentAt = lab.now();
				Lab.Http.Answer answer = gateway.call("GET", "pots.example", "/view/x", id, CLIENT_MS, "");
				long tookMs = lab.now() - sentAt;
				lab.say(id + " at " + gateway.name + ": " + answer.status() + ", "
						+ (answer.isComplete() ? "complete" : answer.problem()) + ", " + tookMs + " ms, "
						+ (ENDLESS.containsKey(id) ? "sent to a faulty server" : "not sent to a faulty server"));
				synchronized (late) {
					if (tookMs > TIMEOUT_MS) {
						late.add(id);
					}
					// An answer that ends in any way within the bound is a final one.
					if (tookMs > TIMEOUT_MS + GRACE_MS) {
						overdue.add(id);
					}
				}
			}));
			Thread.sleep(20);
		}
		for (Thread call : calls) {
			call.join();
		}
		lab.say(REQUESTS + " requests, " + ENDLESS.size() + " got a body without end, " + late.size()
				+ " unanswered at the Timeout of the route, " + overdue.size()
				+ " of these without a final answer half a second later: " + overdue);
		return overdue.size() >= 8 && overdue.size() * 2 > late.size();
	}

	private static boolean isFaulty(Lab lab, AtomicInteger answers) {
		long period = FAULTY_MS + PAUSE_MS;
		long sinceMs = lab.now() - begin;
		return Lab.TROUBLE && sinceMs >= 0 && sinceMs < 3 * period && sinceMs % period < FAULTY_MS
				&& answers.incrementAndGet() % ONE_IN == 0;
	}

	private static boolean sendsWithoutEnd(Lab.Server server, Lab.Http.Request request, java.io.OutputStream out)
			throws java.io.IOException {
		String id = request.header("x-lovagevale-attempt-id");
		ENDLESS.put(id, server.id);
		out.write(("HTTP/1.1 200 OK\r\nX-Lovagevale-Attempt-Id: " + id + "\r\nX-Lovagevale-Server-Signature: sig\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n").getBytes());
		byte[] chunk = ("400\r\n" + "x".repeat(1_024) + "\r\n").getBytes();
		long end = System.nanoTime() + 30_000_000_000L;
		while (System.nanoTime() < end) {
			out.write(chunk);
			Lab.pause(10);
		}
		return true;
	}

	private Case10() {
	}

}
