package org.lovagevale.standins.caller;

import java.net.ConnectException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.Clock;
import org.lovagevale.standins.http.Json;
import org.lovagevale.standins.http.ReceivedBody;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * A client of a service that follows the protocol rules for callers.
 *
 * <p>
 * It looks up the addresses of entry VMs and caches them for as long as the response
 * allows. An idempotency key begins with the prefix of the VM to which the request is
 * sent first; this VM owns the key. After the outcome "not-run" the caller sends the
 * request to another address with a new key. After the outcome "running" or a lost
 * connection it resends the request with the same key, first to the owner and then to
 * other VMs, which respond on behalf of the owner. A request that may have run and has no
 * key is resent only if it is idempotent. Thread-safe.
 */
public final class Caller implements AutoCloseable {

	private static final int OK = 200;

	private static final long RESEND_DELAY_MS = 50;

	private static final long MAX_RETRY_AFTER_MS = 1_000;

	private static final long SECOND_MS = 1_000;

	private static final int MAX_CONNECTIONS = 500;

	private static final int MAX_SENDS_TO_OWNER = 3;

	// An entry process may send its response as late as the deadline; this is the time
	// for the response to arrive.
	private static final long RESPONSE_GRACE_MS = 1_000;

	private final List<EntryAddress> seeds;

	private final String service;

	private final String account;

	private final Clock clock;

	private final ConnectionProvider connections;

	private final HttpClient client;

	private final AtomicInteger nextSeed = new AtomicInteger();

	private final AtomicInteger lookups = new AtomicInteger();

	private volatile @Nullable AddressLookupResult cachedLookup;

	private volatile long cachedUntilMs;

	/**
	 * Creates a caller.
	 * @param seeds addresses used for lookups, at least one
	 * @param service the service
	 * @param account the client account, empty for none
	 * @param clock the clock
	 */
	public Caller(List<EntryAddress> seeds, String service, String account, Clock clock) {
		if (seeds.isEmpty()) {
			throw new IllegalArgumentException("at least one seed address is required");
		}
		this.seeds = List.copyOf(seeds);
		this.service = service;
		this.account = account;
		this.clock = clock;
		this.connections = ConnectionProvider.builder("caller").maxConnections(MAX_CONNECTIONS).build();
		// By default, Reactor Netty resends requests on its own after a lost connection.
		this.client = HttpClient.create(this.connections).disableRetry(true);
	}

	/**
	 * Returns the addresses of the service, from the cache while they are valid.
	 * @return the lookup result; fails if no seed returns addresses
	 */
	public Mono<AddressLookupResult> addresses() {
		AddressLookupResult cached = this.cachedLookup;
		if (cached != null && this.clock.millis() < this.cachedUntilMs) {
			return Mono.just(cached);
		}
		return lookUpAddresses(this.seeds.size());
	}

	/**
	 * Discards the cached addresses, so that the next call looks them up again.
	 */
	public void discardAddresses() {
		this.cachedLookup = null;
	}

	/**
	 * Returns the number of address lookups.
	 * @return the number of lookup requests sent
	 */
	public int lookups() {
		return this.lookups.get();
	}

	/**
	 * Returns a new idempotency key.
	 * @param address the VM that will own the key
	 * @return the key
	 */
	public static String newKey(EntryAddress address) {
		return address.keyPrefix() + UUID.randomUUID().toString().replace("-", "");
	}

	/**
	 * Sends a call, and resends it within its time limit where the protocol rules allow.
	 * @param call the call
	 * @return the result; fails only if the address lookup fails
	 */
	public Mono<CallResult> send(Call call) {
		return Mono
			.defer(() -> sendNext(new CallProgress(call, this.clock.millis() + call.timeoutMs(), 0, 0, null, "")));
	}

	/**
	 * Sends the request of a call once.
	 * @param call the call
	 * @param address the VM to send it to
	 * @param key the idempotency key, empty for none
	 * @return the result; fails if no complete response was received
	 */
	public Mono<CallResult> sendOnce(Call call, EntryAddress address, String key) {
		return exchange(call, address, key, call.timeoutMs());
	}

	/**
	 * Queries the outcome of the request with an idempotency key.
	 * @param address the VM to query
	 * @param key the key
	 * @return the result of the query
	 */
	public Mono<CallResult> queryOutcome(EntryAddress address, String key) {
		return sendOnce(Call.get("/.lovagevale/outcome/" + key), address, "");
	}

	@Override
	public void close() {
		this.connections.dispose();
	}

	private Mono<AddressLookupResult> lookUpAddresses(int seedsLeft) {
		EntryAddress seed = this.seeds.get(Math.floorMod(this.nextSeed.get(), this.seeds.size()));
		this.lookups.incrementAndGet();
		return sendOnce(Call.get(lookupPath()).withTimeoutMs(SECOND_MS), seed, "").flatMap(this::cacheLookup)
			.onErrorResume((ex) -> {
				this.nextSeed.incrementAndGet();
				return (seedsLeft > 1) ? lookUpAddresses(seedsLeft - 1) : Mono.error(ex);
			});
	}

	private String lookupPath() {
		String path = "/.lovagevale/addresses?service=" + this.service;
		return this.account.isEmpty() ? path : path + "&account=" + this.account;
	}

	private Mono<AddressLookupResult> cacheLookup(CallResult result) {
		if (result.status() != OK) {
			return Mono.error(new IllegalStateException("address lookup returned status " + result.status()));
		}
		AddressLookupResult lookup = Json.read(result.body().text(), AddressLookupResult.class);
		if (lookup.addresses().isEmpty()) {
			return Mono.error(new IllegalStateException("address lookup returned no addresses"));
		}
		this.cachedLookup = lookup;
		this.cachedUntilMs = this.clock.millis() + lookup.validForMs();
		return Mono.just(lookup);
	}

	private Mono<CallResult> sendNext(CallProgress progress) {
		return addresses().flatMap((lookup) -> {
			EntryAddress address = chooseAddress(progress, lookup);
			String key = chooseKey(progress, address);
			CallProgress updated = progress.afterSend(ownerOrElse(progress, address), key);
			return exchange(progress.call(), address, key, remainingMs(progress))
				.map((result) -> result.withAttempts(updated.attempts()))
				.flatMap((result) -> resendOrReturn(updated, result))
				.onErrorResume((ex) -> resendOrFail(updated, address, ex));
		});
	}

	private static EntryAddress chooseAddress(CallProgress progress, AddressLookupResult lookup) {
		EntryAddress owner = progress.owner();
		if (owner != null && progress.sendsOfKey() < MAX_SENDS_TO_OWNER) {
			return owner;
		}
		List<EntryAddress> others = lookup.addresses()
			.stream()
			.filter((address) -> owner == null || !address.vm().equals(owner.vm()))
			.toList();
		if (others.isEmpty()) {
			return (owner != null) ? owner : lookup.addresses().get(0);
		}
		return others.get(progress.attempts() % others.size());
	}

	private static EntryAddress ownerOrElse(CallProgress progress, EntryAddress chosen) {
		EntryAddress owner = progress.owner();
		return (owner != null) ? owner : chosen;
	}

	private static String chooseKey(CallProgress progress, EntryAddress address) {
		if (!progress.call().keyed()) {
			return "";
		}
		return progress.key().isEmpty() ? newKey(address) : progress.key();
	}

	private long remainingMs(CallProgress progress) {
		return Math.max(1, progress.endMs() - this.clock.millis());
	}

	private Mono<CallResult> resendOrReturn(CallProgress progress, CallResult result) {
		long waitMs = Math.max(RESEND_DELAY_MS, retryAfterMs(result));
		if (this.clock.millis() + waitMs >= progress.endMs()) {
			return Mono.just(result);
		}
		return switch (result.outcome()) {
			case "not-run" ->
				isRetryableStatus(result) ? resendAfter(progress.withoutKey(), waitMs) : Mono.just(result);
			case "running" -> resendAfter(progress, waitMs);
			case "unknown" -> mayResendUnknown(progress, result) ? resendAfter(progress, waitMs) : Mono.just(result);
			default -> Mono.just(result);
		};
	}

	private static boolean mayResendUnknown(CallProgress progress, CallResult result) {
		return progress.call().isIdempotent() && !progress.call().keyed() && isRetryableStatus(result);
	}

	// A request that was rejected with another status, such as 413 or 422, would be
	// rejected again.
	private static boolean isRetryableStatus(CallResult result) {
		return switch (result.status()) {
			case 421, 429, 502, 503, 504 -> true;
			default -> false;
		};
	}

	private static long retryAfterMs(CallResult result) {
		String value = result.header("retry-after");
		if (value.isEmpty() || !value.chars().allMatch(Character::isDigit)) {
			return 0;
		}
		return Math.min(MAX_RETRY_AFTER_MS, Long.parseLong(value) * SECOND_MS);
	}

	private Mono<CallResult> resendOrFail(CallProgress progress, EntryAddress address, Throwable cause) {
		boolean maybeSent = !(cause instanceof ConnectException);
		boolean mayResend = progress.call().keyed() || progress.call().isIdempotent() || !maybeSent;
		if (!mayResend || this.clock.millis() + RESEND_DELAY_MS >= progress.endMs()) {
			String reason = cause.getClass().getSimpleName() + ": " + cause.getMessage();
			return Mono.just(CallResult.failed(address, progress.key(), progress.attempts(), reason));
		}
		if (maybeSent && progress.call().keyed()) {
			return resendAfter(progress, RESEND_DELAY_MS);
		}
		discardAddresses();
		boolean keyUnused = progress.sendsOfKey() <= 1;
		return resendAfter(keyUnused ? progress.withoutKey() : progress, RESEND_DELAY_MS);
	}

	private Mono<CallResult> resendAfter(CallProgress progress, long waitMs) {
		return Mono.delay(Duration.ofMillis(waitMs)).flatMap((tick) -> sendNext(progress));
	}

	private Mono<CallResult> exchange(Call call, EntryAddress address, String key, long timeoutMs) {
		return this.client.headers((headers) -> addHeaders(headers, call, key, timeoutMs))
			.request(HttpMethod.valueOf(call.method()))
			.uri(address.baseUrl() + call.path())
			.send((request, outbound) -> (call.length() > 0) ? outbound.send(call.body()) : outbound)
			.response((response, body) -> ReceivedBody.read(body).map((read) -> toResult(response, read, address, key)))
			.single()
			.timeout(Duration.ofMillis(timeoutMs + RESPONSE_GRACE_MS));
	}

	private void addHeaders(HttpHeaders headers, Call call, String key, long timeoutMs) {
		headers.set("Content-Length", call.length()).set("Lovagevale-Timeout-Ms", timeoutMs);
		if (!this.account.isEmpty()) {
			headers.set("Lovagevale-Account", this.account);
		}
		if (!key.isEmpty()) {
			headers.set("Idempotency-Key", key);
		}
		call.headers().forEach(headers::set);
	}

	private static CallResult toResult(HttpClientResponse response, ReceivedBody body, EntryAddress address,
			String key) {
		Map<String, String> headers = new HashMap<>();
		response.responseHeaders()
			.forEach((header) -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
		return new CallResult(response.status().code(), headers, body, address, key, 1, "");
	}

	/**
	 * The progress of a call.
	 *
	 * @param call the call
	 * @param endMs the end of its time limit on the clock of the caller, in milliseconds
	 * @param attempts number of requests sent so far
	 * @param sendsOfKey number of requests sent so far with the current key
	 * @param owner the VM that owns the key, {@code null} if there is no key
	 * @param key the idempotency key, empty if none has been chosen
	 */
	private record CallProgress(Call call, long endMs, int attempts, int sendsOfKey, @Nullable EntryAddress owner,
			String key) {

		private CallProgress afterSend(EntryAddress ownerOfKey, String usedKey) {
			EntryAddress nextOwner = usedKey.isEmpty() ? null : ownerOfKey;
			return new CallProgress(this.call, this.endMs, this.attempts + 1, this.sendsOfKey + 1, nextOwner, usedKey);
		}

		private CallProgress withoutKey() {
			return new CallProgress(this.call, this.endMs, this.attempts, 0, null, "");
		}

	}

}
