import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For 8 s, the servers of a service run a part of their requests and then fail with 503,
 * without the header that states that a request was not run.
 */
final class Case7 {

	private static final int SERVERS = 7;

	private static final double FAILING_SHARE = 0.2;

	private static final long FAILING_MS = 8_000;

	private static final int TRANSFERS = 400;

	private static final int RETRIES = 2;

	private static final long WORK_MS = 210;

	/** When the servers begin to fail. */
	private static final java.util.concurrent.atomic.AtomicLong FAILING_FROM = new java.util.concurrent.atomic.AtomicLong();

	/** The attempts that ran, by ID. */
	private static final ConcurrentHashMap<String, String> RAN = new ConcurrentHashMap<>();

	/** How often each transfer ran. */
	private static final ConcurrentHashMap<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();

	public static void main(String[] args) {
		Lab.main(args, Case7::run);
	}

	private static boolean run(Lab lab) throws Exception {
		lab.zones.put("a-1", "a");
		lab.zones.put("a-2", "a");
		lab.store.put("op/config",
				Lab.config(7,
						List.of(Lab.route("move", "pots.example", "/move/", "non_idempotent", "transfers", "2.5s", 1)),
						List.of(Lab.service("transfers")), Lab.LIMITS));
		lab.addGateway("edge-1", "a-1");
		lab.addGateway("edge-2", "a-2");
		AtomicInteger grey = new AtomicInteger();
		FAILING_FROM.set(Long.MAX_VALUE / 2);
		for (int i = 1; i <= SERVERS; i++) {
			Lab.Server server = lab.addServer("i-" + i, "transfers", "a-" + (i % 2 + 1), 3);
			server.workMs = WORK_MS;
			server.behaviour = (request, out, socket) -> {
				String id = request.header("x-lovagevale-attempt-id");
				RAN.put(id, server.id);
				RUNS.computeIfAbsent(new String(request.body()), (body) -> new AtomicInteger()).incrementAndGet();
				boolean fails = Lab.TROUBLE && lab.now() >= FAILING_FROM.get()
						&& lab.now() < FAILING_FROM.get() + FAILING_MS && (int) (grey.get() * FAILING_SHARE) != (int) (grey
					.incrementAndGet() * FAILING_SHARE);
				if (!fails) {
					return false;
				}
				Lab.pause(server.workMs);
				lab.say(server.id + " has run " + id + " and fails with 503");
				String body = "the ledger did not answer in time";
				out.write(("HTTP/1.1 503 Service Unavailable\r\nX-Lovagevale-Attempt-Id: " + id
						+ "\r\nX-Lovagevale-Server-Signature: sig-" + server.id + "\r\nX-Lovagevale-Server-Load: "
						+ server.load() + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
					.getBytes());
				socket.close();
				return true;
			};
			server.publish();
		}
		lab.startGateways();
		Thread.sleep(5_000);
		FAILING_FROM.set(lab.now() + 3_000);
		List<String> refused = new ArrayList<>();
		AtomicInteger served = new AtomicInteger();
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < TRANSFERS; i++) {
			String transfer = "transfer-" + i;
			int first = i % 2;
			clients.add(Thread.ofPlatform().start(() -> {
				for (int attempt = 0; attempt <= RETRIES; attempt++) {
					String id = transfer + "-" + attempt;
					Lab.Gateway gateway = lab.gateways.get((first + attempt) % 2);
					Lab.Http.Answer answer = gateway.call("POST", "pots.example", "/move/x", id, 5_000, transfer);
					boolean promise = answer.status() == 429 || answer.status() == 503 || answer.status() == 408
							|| answer.status() == 421;
					if (promise && RAN.containsKey(id)) {
						lab.say(id + " ran at " + RAN.get(id) + " and was answered " + answer);
						synchronized (refused) {
							refused.add(id);
						}
					}
					if (!promise) {
						served.addAndGet((answer.status() == 200) ? 1 : 0);
						return;
					}
					// These status codes say that the request has not run, so it is sent again.
					Lab.pause((long) (1_000 * Double.parseDouble(answer.headers().getOrDefault("retry-after", "0.2"))));
				}
			}));
			Thread.sleep(40);
		}
		for (Thread client : clients) {
			client.join();
		}
		List<String> twice = RUNS.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().get() > 1)
			.map(java.util.Map.Entry::getKey)
			.sorted()
			.toList();
		lab.say(served + " of " + TRANSFERS + " transfers answered 200; " + refused.size()
				+ " requests ran and were answered with a promise that they had not: " + refused);
		for (Lab.Gateway gateway : lab.gateways) {
			List<String> lines = gateway.logged("status=503 origin=server");
			lab.say(gateway.name + " logged " + lines.size() + " such answers, "
					+ lines.stream().filter((line) -> line.contains("mayHaveRun=true")).count() + " with mayHaveRun=true");
		}
		lab.say(twice.size() + " transfers ran more than once: " + twice);
		Lab.check(served.get() * 2 > TRANSFERS, "too few requests were served");
		return !refused.isEmpty();
	}

	private Case7() {
	}

}
