package org.lovagevale.standins.demo;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import org.lovagevale.base.SystemClock;
import org.lovagevale.settings.model.BackendServer;
import org.lovagevale.settings.model.EntryVm;
import org.lovagevale.standins.caller.Call;
import org.lovagevale.standins.caller.CallResult;
import org.lovagevale.standins.caller.Caller;
import org.lovagevale.standins.caller.EntryAddress;
import org.lovagevale.standins.http.GeneratedBody;
import org.lovagevale.standins.http.Json;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The steps of the demonstration and their checks.
 *
 * <p>
 * Not thread-safe.
 */
final class DemoSteps implements AutoCloseable {

	private static final int READ_COUNT = 300;

	private static final int WRITE_COUNT = 100;

	private static final int CONCURRENCY = 8;

	private static final long DOCUMENT_BYTES = 16L * 1024 * 1024;

	private static final long DOCUMENT_TIMEOUT_MS = 60_000;

	private static final String TESTED_DOMAIN = "west-1";

	private static final Duration JOIN_TIMEOUT = Duration.ofSeconds(15);

	private static final Duration JOIN_POLL_INTERVAL = Duration.ofMillis(200);

	private static final Duration LOAD_DURATION = Duration.ofSeconds(20);

	private static final Duration LOAD_INTERVAL = Duration.ofMillis(20);

	private static final Duration SETTLE_TIME = Duration.ofSeconds(3);

	private static final Duration OBSERVATION_TIME = Duration.ofSeconds(4);

	private static final Duration RESTORE_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration TIMEOUT = Duration.ofSeconds(120);

	private static final int CONFLICT = 409;

	private static final int MISDIRECTED = 421;

	private final DemoFleet fleet;

	private final DemoReport report;

	private final Caller balances;

	private final Caller transfers;

	private final Caller documents;

	private final Caller westBalances;

	DemoSteps(DemoFleet fleet, DemoReport report) {
		this.fleet = fleet;
		this.report = report;
		this.balances = newCaller("balances", "tutors");
		this.transfers = newCaller("transfers", "tutors");
		this.documents = newCaller("documents", "tutors");
		this.westBalances = newCaller("balances", "designers-west");
	}

	void run() throws IOException, InterruptedException {
		checkAddresses();
		sendReads();
		sendWrites();
		resendSameKey();
		transferDocument();
		checkHomeRegion();
		takeOutAndRestoreDomain();
		checkCounters();
	}

	@Override
	public void close() {
		List.of(this.balances, this.transfers, this.documents, this.westBalances).forEach(Caller::close);
	}

	// Right after its start, an entry process does not know the other entry processes
	// yet, so the first lookups may return only some of the addresses.
	private void checkAddresses() throws InterruptedException {
		long begin = System.nanoTime();
		int expected = this.fleet.entryVms().size();
		List<EntryAddress> addresses = lookUpAddresses(this.balances);
		while (addresses.size() < expected && System.nanoTime() - begin < JOIN_TIMEOUT.toNanos()) {
			Thread.sleep(JOIN_POLL_INTERVAL);
			this.balances.discardAddresses();
			addresses = lookUpAddresses(this.balances);
		}
		String names = addresses.stream().map(EntryAddress::vm).collect(Collectors.joining(", "));
		this.report.addResult("addresses", addresses.size() == expected, "the lookup returned " + names);
	}

	private void sendReads() {
		List<CallResult> results = sendMany(READ_COUNT, (i) -> this.balances.send(Call.get("/balances/" + i)));
		reportCalls("reads", results);
	}

	private void sendWrites() {
		List<CallResult> results = sendMany(WRITE_COUNT,
				(i) -> this.transfers.send(Call.post("/transfers", "{\"cents\":" + i + "}")));
		reportCalls("writes", results);
	}

	private void resendSameKey() throws IOException, InterruptedException {
		List<EntryAddress> addresses = lookUpAddresses(this.transfers);
		EntryAddress owner = addresses.get(0);
		EntryAddress other = addresses.get(addresses.size() - 1);
		Call call = Call.post("/transfers", "{\"cents\":4200}");
		CallResult first = sendUntilRun(this.transfers, call, owner);
		CallResult resent = sendOnce(this.transfers, call, owner, first.key());
		boolean replayed = first.isSuccess() && resent.isSuccess()
				&& resent.body().sha256().equals(first.body().sha256());
		this.report.addResult("resend with the same key", replayed && countRuns(first) == 1,
				"status " + resent.status() + (replayed ? ", stored response" : "") + ", runs " + countRuns(first));
		CallResult throughOther = sendOnce(this.transfers, call, other, first.key());
		boolean ranIsKnown = throughOther.status() == CONFLICT && throughOther.outcome().equals("ran");
		this.report.addResult("resend through " + other.vm(), ranIsKnown && countRuns(first) == 1, "status "
				+ throughOther.status() + ", outcome " + throughOther.outcome() + ", runs " + countRuns(first));
	}

	// The first request may be rejected because all servers are cold. After the outcome
	// "not-run" the caller may send the request again with a new key.
	private CallResult sendUntilRun(Caller caller, Call call, EntryAddress owner) {
		CallResult result = sendOnce(caller, call, owner, Caller.newKey(owner));
		for (int i = 0; i < CONCURRENCY && result.outcome().equals("not-run"); i++) {
			result = sendOnce(caller, call, owner, Caller.newKey(owner));
		}
		return result;
	}

	private void transferDocument() {
		GeneratedBody body = new GeneratedBody(42, DOCUMENT_BYTES);
		String digest = body.sha256();
		CallResult uploaded = send(this.documents,
				Call.put("/documents/manual", body).withTimeoutMs(DOCUMENT_TIMEOUT_MS));
		String stored = uploaded.isSuccess() ? Json.read(uploaded.body().text()).path("sha256").asText() : "";
		this.report.addResult("upload", stored.equals(digest), DOCUMENT_BYTES + " bytes, " + describe(uploaded)
				+ ", digest " + (stored.equals(digest) ? "equal" : "different"));
		explainIfFailed(uploaded);
		Call get = Call.get("/documents/manual?seed=42&bytes=" + DOCUMENT_BYTES).withTimeoutMs(DOCUMENT_TIMEOUT_MS);
		CallResult downloaded = send(this.documents, get);
		boolean equal = downloaded.body().sha256().equals(digest);
		this.report.addResult("download", downloaded.isSuccess() && equal, downloaded.body().length() + " bytes, "
				+ describe(downloaded) + ", digest " + (equal ? "equal" : "different"));
		explainIfFailed(downloaded);
	}

	private void checkHomeRegion() {
		Set<String> regions = lookUpAddresses(this.westBalances).stream()
			.map(EntryAddress::region)
			.collect(Collectors.toSet());
		EntryVm otherRegionVm = this.fleet.entryVms()
			.stream()
			.filter((vm) -> !vm.region().value().equals("west"))
			.findFirst()
			.orElseThrow();
		CallResult rejected = sendOnce(this.westBalances, Call.get("/balances/1"),
				EntryAddress.of(otherRegionVm.host(), otherRegionVm.callerPort()), "");
		boolean correct = regions.equals(Set.of("west")) && rejected.status() == MISDIRECTED
				&& rejected.outcome().equals("not-run");
		this.report.addResult("home region", correct,
				"the lookup returned addresses in " + regions + "; " + otherRegionVm.name()
						+ " in another region returned status " + rejected.status() + " " + rejected.outcome());
	}

	private void takeOutAndRestoreDomain() throws IOException, InterruptedException {
		List<CallResult> results = new ArrayList<>();
		Thread load = Thread.ofVirtual().start(() -> results.addAll(sendLoad()));
		Thread.sleep(SETTLE_TIME);
		String treeWithDomainOut = this.fleet.tree()
			.replaceFirst("\"" + TESTED_DOMAIN + "\": \\{", "\"" + TESTED_DOMAIN + "\": { \"out\": true,");
		this.fleet.publish(treeWithDomainOut);
		Thread.sleep(SETTLE_TIME);
		Map<String, Long> before = runsInDomain();
		Thread.sleep(OBSERVATION_TIME);
		Map<String, Long> after = runsInDomain();
		this.report.addResult("domain taken out", before.equals(after), "from 3 s after the publication, "
				+ before.keySet() + " must run no requests; settings versions " + settingsVersions());
		this.fleet.publish(this.fleet.tree());
		load.join(TIMEOUT);
		reportCalls("calls while " + TESTED_DOMAIN + " was out and restored", List.copyOf(results));
		boolean restored = sendUntilRunsInDomain(after);
		this.report.addResult("domain restored", restored,
				restored ? "its servers run requests again" : "its servers ran no requests");
	}

	private List<CallResult> sendLoad() {
		long count = LOAD_DURATION.dividedBy(LOAD_INTERVAL);
		return Flux.interval(LOAD_INTERVAL)
			.take(count)
			.onBackpressureBuffer()
			.flatMap((i) -> (i % 5 == 0) ? this.transfers.send(Call.post("/transfers", "{\"cents\":" + i + "}"))
					: this.balances.send(Call.get("/balances/" + i)), (int) count)
			.collectList()
			.blockOptional(TIMEOUT)
			.orElseThrow();
	}

	private boolean sendUntilRunsInDomain(Map<String, Long> before) throws IOException, InterruptedException {
		long deadline = System.nanoTime() + RESTORE_TIMEOUT.toNanos();
		while (System.nanoTime() < deadline) {
			sendMany(READ_COUNT, (i) -> this.balances.send(Call.get("/balances/" + i)));
			if (!runsInDomain().equals(before)) {
				return true;
			}
		}
		return false;
	}

	private void checkCounters() throws IOException, InterruptedException {
		JsonNode stats = this.fleet.backendStats();
		int duplicates = stats.path("duplicateKeys").size();
		this.report.addResult("duplicates", duplicates == 0, duplicates + " keys ran more than once, of "
				+ stats.path("runs").asLong() + " runs on backend servers");
		long violations = 0;
		for (JsonNode server : stats.path("servers")) {
			violations += server.path("counters").path("cold_violations").asLong();
		}
		this.report.addResult("cold starts", violations == 0,
				violations + " requests exceeded the concurrency limit of a cold server");
		List<String> exited = this.fleet.exitedProcesses();
		this.report.addResult("processes", exited.isEmpty(),
				exited.isEmpty() ? "all are running" : "exited: " + exited);
	}

	private void reportCalls(String step, List<CallResult> results) {
		long succeeded = results.stream().filter(CallResult::isSuccess).count();
		long resent = results.stream().filter((result) -> result.attempts() > 1).count();
		Map<String, Long> failures = results.stream()
			.filter((result) -> !result.isSuccess())
			.collect(Collectors.groupingBy(DemoSteps::describe, TreeMap::new, Collectors.counting()));
		this.report.addResult(step, !results.isEmpty() && succeeded == results.size(),
				succeeded + " of " + results.size() + " succeeded, " + resent + " calls were resent"
						+ (failures.isEmpty() ? "" : "; failures " + failures));
		results.stream().filter((result) -> !result.isSuccess()).findFirst().ifPresent(this::explainIfFailed);
	}

	private static String describe(CallResult result) {
		String text = "status " + result.status() + " " + result.outcome() + " " + result.reason() + result.failure();
		return text.strip() + ((result.attempts() > 1) ? " after " + result.attempts() + " attempts" : "");
	}

	// Prints how the entry process handled a call that did not succeed.
	private void explainIfFailed(CallResult result) {
		String vm = result.header("lovagevale-vm");
		String requestId = result.header("lovagevale-request-id");
		if (!result.isSuccess() && !vm.isEmpty() && !requestId.isEmpty()) {
			this.report.print("        " + vm + " on request " + requestId + ": " + this.fleet.explain(vm, requestId));
		}
	}

	private Map<String, Long> runsInDomain() throws IOException, InterruptedException {
		Set<String> names = this.fleet.servers()
			.stream()
			.filter((server) -> server.domain().value().equals(TESTED_DOMAIN))
			.map(BackendServer::name)
			.map(Objects::toString)
			.collect(Collectors.toSet());
		Map<String, Long> result = new TreeMap<>();
		for (JsonNode server : this.fleet.backendStats().path("servers")) {
			String name = server.path("name").asText();
			if (names.contains(name)) {
				result.put(name, server.path("counters").path("runs").asLong());
			}
		}
		return result;
	}

	private Map<String, Long> settingsVersions() throws IOException, InterruptedException {
		Map<String, Long> result = new TreeMap<>();
		for (EntryVm vm : this.fleet.entryVms()) {
			result.put(vm.name().value(), this.fleet.status(vm).path("settingsVersion").asLong());
		}
		return result;
	}

	private int countRuns(CallResult result) throws IOException, InterruptedException {
		return this.fleet.runsOfKey(result.key()).size();
	}

	private Caller newCaller(String service, String account) {
		List<EntryAddress> seeds = this.fleet.entryVms()
			.stream()
			.map((vm) -> EntryAddress.of(vm.host(), vm.callerPort()))
			.toList();
		return new Caller(seeds, service, account, new SystemClock());
	}

	private static List<EntryAddress> lookUpAddresses(Caller caller) {
		return caller.addresses().blockOptional(TIMEOUT).orElseThrow().addresses();
	}

	private static CallResult send(Caller caller, Call call) {
		return caller.send(call).blockOptional(TIMEOUT).orElseThrow();
	}

	private static CallResult sendOnce(Caller caller, Call call, EntryAddress address, String key) {
		return caller.sendOnce(call, address, key).blockOptional(TIMEOUT).orElseThrow();
	}

	private static List<CallResult> sendMany(int count, Sender sender) {
		return Flux.range(0, count)
			.flatMap(sender::send, CONCURRENCY)
			.collectList()
			.blockOptional(TIMEOUT)
			.orElseThrow();
	}

	/**
	 * Sends the call with an index.
	 */
	@FunctionalInterface
	private interface Sender {

		Mono<CallResult> send(int index);

	}

}
