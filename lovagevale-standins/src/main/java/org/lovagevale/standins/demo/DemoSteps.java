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

	private static final Duration DOMAIN_OUT_TIME = Duration.ofSeconds(4);

	private static final Duration RETURN_TIMEOUT = Duration.ofSeconds(30);

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
		this.balances = caller("balances", "tutors");
		this.transfers = caller("transfers", "tutors");
		this.documents = caller("documents", "tutors");
		this.westBalances = caller("balances", "designers-west");
	}

	void run() throws IOException, InterruptedException {
		checkAddresses();
		sendReads();
		sendWrites();
		resendSameKey();
		transferDocument();
		checkHomeRegion();
		removeAndRestoreDomain();
		countDuplicates();
	}

	@Override
	public void close() {
		List.of(this.balances, this.transfers, this.documents, this.westBalances).forEach(Caller::close);
	}

	// An entry process does not know the other members right after its start, so the
	// first lookups may return only some of the addresses.
	private void checkAddresses() throws InterruptedException {
		long begin = System.nanoTime();
		int all = this.fleet.entryVms().size();
		List<EntryAddress> addresses = addresses(this.balances);
		while (addresses.size() < all && System.nanoTime() - begin < JOIN_TIMEOUT.toNanos()) {
			Thread.sleep(JOIN_POLL_INTERVAL);
			this.balances.discardAddresses();
			addresses = addresses(this.balances);
		}
		String names = addresses.stream().map(EntryAddress::vm).collect(Collectors.joining(", "));
		this.report.check("addresses", addresses.size() == all, "callers may use " + names);
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
		List<EntryAddress> addresses = addresses(this.transfers);
		EntryAddress owner = addresses.get(0);
		EntryAddress other = addresses.get(addresses.size() - 1);
		Call call = Call.post("/transfers", "{\"cents\":4200}");
		CallResult first = sendUntilRun(this.transfers, call, owner);
		CallResult again = sendOnce(this.transfers, call, owner, first.key());
		boolean replayed = first.isSuccess() && again.isSuccess()
				&& again.body().sha256().equals(first.body().sha256());
		this.report.check("same key again", replayed && runs(first) == 1, "answered with " + again.status()
				+ (replayed ? ", the stored response" : "") + ", runs " + runs(first));
		CallResult elsewhere = sendOnce(this.transfers, call, other, first.key());
		boolean known = elsewhere.status() == CONFLICT && elsewhere.outcome().equals("ran");
		this.report.check("same key through " + other.vm(), known && runs(first) == 1,
				"answered with " + elsewhere.status() + ", outcome " + elsewhere.outcome() + ", runs " + runs(first));
	}

	// The first request may be rejected because all servers are cold. The outcome
	// "not-run" allows the caller to send it again with a new key.
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
		this.report.check("upload", stored.equals(digest), DOCUMENT_BYTES + " bytes, " + describe(uploaded)
				+ ", digest " + (stored.equals(digest) ? "equal" : "different"));
		explain(uploaded);
		Call get = Call.get("/documents/manual?seed=42&bytes=" + DOCUMENT_BYTES).withTimeoutMs(DOCUMENT_TIMEOUT_MS);
		CallResult downloaded = send(this.documents, get);
		boolean equal = downloaded.body().sha256().equals(digest);
		this.report.check("download", downloaded.isSuccess() && equal, downloaded.body().length() + " bytes, "
				+ describe(downloaded) + ", digest " + (equal ? "equal" : "different"));
		explain(downloaded);
	}

	private void checkHomeRegion() {
		Set<String> regions = addresses(this.westBalances).stream()
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
		this.report.check("home region", correct, "addresses only in " + regions + "; " + otherRegionVm.name()
				+ " in another region answered with " + rejected.status() + " " + rejected.outcome());
	}

	private void removeAndRestoreDomain() throws IOException, InterruptedException {
		List<CallResult> results = new ArrayList<>();
		Thread load = Thread.ofVirtual().start(() -> results.addAll(sendLoad()));
		Thread.sleep(SETTLE_TIME);
		String out = this.fleet.tree()
			.replaceFirst("\"" + TESTED_DOMAIN + "\": \\{", "\"" + TESTED_DOMAIN + "\": { \"out\": true,");
		this.fleet.publish(out);
		Thread.sleep(SETTLE_TIME);
		Map<String, Long> before = runsInDomain();
		Thread.sleep(DOMAIN_OUT_TIME);
		Map<String, Long> after = runsInDomain();
		this.report.check("domain out", before.equals(after),
				"3 s after publication no work reaches " + before.keySet() + "; versions " + versions());
		this.fleet.publish(this.fleet.tree());
		load.join(TIMEOUT);
		reportCalls("calls while " + TESTED_DOMAIN + " left and returned", List.copyOf(results));
		boolean returned = awaitRunsInDomain(after);
		this.report.check("domain back", returned, returned ? "its servers work again" : "its servers got no work");
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

	private boolean awaitRunsInDomain(Map<String, Long> before) throws IOException, InterruptedException {
		long end = System.nanoTime() + RETURN_TIMEOUT.toNanos();
		while (System.nanoTime() < end) {
			sendMany(READ_COUNT, (i) -> this.balances.send(Call.get("/balances/" + i)));
			if (!runsInDomain().equals(before)) {
				return true;
			}
		}
		return false;
	}

	private void countDuplicates() throws IOException, InterruptedException {
		JsonNode stats = this.fleet.backendStats();
		int duplicates = stats.path("duplicateKeys").size();
		this.report.check("duplicates", duplicates == 0, duplicates + " keys ran more than once, of "
				+ stats.path("runs").asLong() + " runs on backend servers");
		long violations = 0;
		for (JsonNode server : stats.path("servers")) {
			violations += server.path("counters").path("cold_violations").asLong();
		}
		this.report.check("cold starts", violations == 0, violations + " requests beyond what a cold server bears");
		List<String> ended = this.fleet.endedProcesses();
		this.report.check("processes", ended.isEmpty(), ended.isEmpty() ? "all are running" : "ended: " + ended);
	}

	private void reportCalls(String step, List<CallResult> results) {
		long correct = results.stream().filter(CallResult::isSuccess).count();
		long resent = results.stream().filter((result) -> result.attempts() > 1).count();
		Map<String, Long> wrong = results.stream()
			.filter((result) -> !result.isSuccess())
			.collect(Collectors.groupingBy(DemoSteps::describe, TreeMap::new, Collectors.counting()));
		this.report.check(step, !results.isEmpty() && correct == results.size(), correct + " of " + results.size()
				+ " answered, " + resent + " of them after a resend" + (wrong.isEmpty() ? "" : "; others " + wrong));
		results.stream().filter((result) -> !result.isSuccess()).findFirst().ifPresent(this::explain);
	}

	private static String describe(CallResult result) {
		String text = "status " + result.status() + " " + result.outcome() + " " + result.reason() + result.failure();
		return text.strip() + ((result.attempts() > 1) ? " after " + result.attempts() + " attempts" : "");
	}

	// Prints how the entry process handled a call that did not succeed.
	private void explain(CallResult result) {
		String vm = result.header("lovagevale-vm");
		String request = result.header("lovagevale-request-id");
		if (!result.isSuccess() && !vm.isEmpty() && !request.isEmpty()) {
			this.report.say("        " + vm + " says of " + request + ": " + this.fleet.explain(vm, request));
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

	private Map<String, Long> versions() throws IOException, InterruptedException {
		Map<String, Long> result = new TreeMap<>();
		for (EntryVm vm : this.fleet.entryVms()) {
			result.put(vm.name().value(), this.fleet.status(vm).path("settingsVersion").asLong());
		}
		return result;
	}

	private int runs(CallResult result) throws IOException, InterruptedException {
		return this.fleet.runsOfKey(result.key()).size();
	}

	private Caller caller(String service, String account) {
		List<EntryAddress> seeds = this.fleet.entryVms()
			.stream()
			.map((vm) -> EntryAddress.of(vm.host(), vm.callerPort()))
			.toList();
		return new Caller(seeds, service, account, new SystemClock());
	}

	private static List<EntryAddress> addresses(Caller caller) {
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
	 * Sends the call with a given index.
	 */
	@FunctionalInterface
	private interface Sender {

		Mono<CallResult> send(int index);

	}

}
