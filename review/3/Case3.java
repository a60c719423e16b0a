package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The machines of a small deployment are stopped in turn. Clients that open a channel
 * after SIGTERM and cannot obtain a new answer of the directory go on using it; none of
 * their requests may be read, passed on and then cut.
 */
public final class Case3 {

	/** Pause between the SIGTERM of one machine and that of the next. */
	private static final long GAP_MS = 1_100;

	private static final long GRACE_MS = 6_000;

	private static final long RESTART_DELAY_MS = 500;

	/** A request that was sent later than this after SIGTERM is not excused. */
	private static final long EXCUSED_UNTIL_MS = 3_000;

	private static final int CLIENTS = 16;

	private static final long WORK_MS = 2_500;

	private static final long TIME_BUDGET_MS = 12_000;

	private static final AtomicInteger SERVED = new AtomicInteger();

	private static final AtomicInteger REFUSED = new AtomicInteger();

	private static final AtomicInteger CUT = new AtomicInteger();

	private static final AtomicInteger CUT_AND_EXCUSED = new AtomicInteger();

	private static final AtomicInteger KEPT_BY_NEW_CHANNELS = new AtomicInteger();

	private Case3() {
	}

	public static void main(String[] arguments) {
		Lab.run(arguments, Case3::run);
	}

	private static boolean run() throws Exception {
		Store store = new Store();
		List<BackEnd> servers = new ArrayList<>();
		for (int i = 0; i < 8; i++) {
			BackEnd server = new BackEnd("i-" + i, "statements", 3);
			server.behave((request) -> {
				Lab.sleep(WORK_MS);
				request.answer("looked up for " + request.requestId());
			});
			servers.add(server);
			store.put("servers/" + server.id(), server.entry((i % 2 == 0) ? "colombo-a" : "colombo-b", "ready", 1));
		}
		Deployment.configure(store, 7, "statements", "statements", 6_000);
		List<Gateway> gateways = List.of(new Gateway("edge-a"), new Gateway("edge-b"));
		List<String> seeds = gateways.stream().map(Gateway::control).toList();
		gateways.get(0).start("colombo-a", Deployment.ZONES, seeds, store, true);
		gateways.get(1).start("colombo-b", Deployment.ZONES, seeds, store, true);
		for (Gateway gateway : gateways) {
			gateway.awaitReady();
		}
		Lab.sleep(4_500);
		AtomicBoolean running = new AtomicBoolean(true);
		long[] terminatedAt = { Long.MAX_VALUE, Long.MAX_VALUE };
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < CLIENTS; i++) {
			clients.add(Thread.ofVirtual().start(new ClientLoop(gateways, servers, running, terminatedAt)));
		}
		Lab.sleep(6_000);
		if (Lab.TROUBLE) {
			for (int i = 0; i < gateways.size(); i++) {
				terminatedAt[i] = Lab.millis();
				Gateway gateway = gateways.get(i);
				String zone = (i == 0) ? "colombo-a" : "colombo-b";
				gateway.terminate();
				Thread.ofVirtual().start(() -> restart(gateway, zone, seeds, store));
				Lab.sleep(GAP_MS);
			}
		}
		Lab.sleep(GRACE_MS + 1_000);
		running.set(false);
		for (Thread client : clients) {
			client.join();
		}
		Lab.note("served " + SERVED + ", other answers " + REFUSED + ", cut after they were passed on: " + CUT
				+ ", cut but excused: " + CUT_AND_EXCUSED);
		Lab.note("answers without Connection: close on channels opened after SIGTERM: " + KEPT_BY_NEW_CHANNELS);
		return CUT.get() == 0;
	}

	// The platform starts a process again after a short delay, and kills it after its grace.
	private static void restart(Gateway gateway, String zone, List<String> seeds, Store store) {
		try {
			if (!gateway.awaitEnd(GRACE_MS)) {
				Lab.note(gateway.name() + " is killed after its grace");
				gateway.kill();
				gateway.awaitEnd(1_000);
			}
			Lab.note(gateway.name() + " ended");
			Lab.sleep(RESTART_DELAY_MS);
			gateway.start(zone, Deployment.ZONES, seeds, store, false);
		}
		catch (IOException | InterruptedException ex) {
			Lab.note(gateway.name() + " was not started again: " + ex);
		}
	}

	/** A client that keeps the answer of the directory until it obtains a new one. */
	private static final class ClientLoop implements Runnable {

		private final List<Gateway> gateways;

		private final List<BackEnd> servers;

		private final AtomicBoolean running;

		private final long[] terminatedAt;

		private List<String> addresses = List.of();

		private long resolvedAt = -100_000;

		ClientLoop(List<Gateway> gateways, List<BackEnd> servers, AtomicBoolean running, long[] terminatedAt) {
			this.gateways = gateways;
			this.servers = servers;
			this.running = running;
			this.terminatedAt = terminatedAt;
		}

		@Override
		public void run() {
			while (this.running.get()) {
				refresh();
				boolean connected = false;
				for (int i = 0; i < this.gateways.size(); i++) {
					if (this.addresses.contains(this.gateways.get(i).front())) {
						connected |= useChannel(i);
					}
				}
				if (!connected) {
					Lab.sleep(50);
				}
			}
		}

		// The time to live is 1 s.
		private void refresh() {
			if (Lab.millis() - this.resolvedAt < 1_000) {
				return;
			}
			for (Gateway gateway : this.gateways) {
				List<String> found = Client.resolve(gateway, Deployment.HOST, "colombo-a", Deployment.REGION);
				if (!found.isEmpty()) {
					this.addresses = found;
					this.resolvedAt = Lab.millis();
					return;
				}
			}
		}

		private boolean useChannel(int index) {
			Gateway gateway = this.gateways.get(index);
			long openedAt = Lab.millis();
			try (Client.Channel channel = new Client.Channel(gateway.host(), gateway.frontPort(), 1_000)) {
				while (this.running.get() && this.addresses.contains(gateway.front())) {
					if (!request(index, channel, openedAt)) {
						return true;
					}
					refresh();
				}
				return true;
			}
			catch (IOException ex) {
				return false;
			}
		}

		private boolean request(int index, Client.Channel channel, long openedAt) throws IOException {
			String id = Client.newId();
			long sentAt = Lab.millis();
			channel.write(Client.head("GET", Deployment.READ + id, Deployment.HOST, id, TIME_BUDGET_MS, -1));
			Client.Answer answer = channel.read(TIME_BUDGET_MS);
			long afterTerm = sentAt - this.terminatedAt[index];
			boolean ran = this.servers.stream().anyMatch((server) -> server.runs(id) > 0);
			String line = "id=" + id + " at " + this.gateways.get(index).name() + " sent=" + sentAt + " tookMs="
					+ (Lab.millis() - sentAt) + " ran=" + ran + " " + answer
					+ ((afterTerm >= 0) ? " sentAfterTermMs=" + afterTerm : "");
			if (answer.status() == 200 && answer.hasSignature()) {
				SERVED.incrementAndGet();
				if (openedAt > this.terminatedAt[index] && !answer.closesChannel()) {
					KEPT_BY_NEW_CHANNELS.incrementAndGet();
				}
			}
			else if (answer.status() > 0) {
				REFUSED.incrementAndGet();
				String retryAfter = answer.head().header("Retry-After");
				Lab.sleep((retryAfter != null) ? (long) (Double.parseDouble(retryAfter) * 1_000) : 0);
			}
			else if (ran) {
				boolean excused = this.terminatedAt[index] != Long.MAX_VALUE && afterTerm <= EXCUSED_UNTIL_MS;
				(excused ? CUT_AND_EXCUSED : CUT).incrementAndGet();
				Lab.note("cut: " + line + (excused ? " (excused)" : ""));
			}
			Lab.detail(line);
			return answer.status() > 0 && !answer.closesChannel();
		}

	}

}
