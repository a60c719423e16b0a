package org.lovagevale.gateway.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.catalog.BackendInstance;
import org.lovagevale.core.catalog.ServiceSpec;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.gateway.ServerProtocol;

/**
 * Checks the health and the load of the servers for which this process is the dispatcher.
 *
 * <p>
 * A server is checked when a request is about to be placed on it and its load is not
 * known well enough, and otherwise periodically. Invariants: at most one check of a
 * server is in progress at a time; two checks of a server start at least
 * {@link #MIN_INTERVAL_MS} apart; a server that is leaving or has asked this process to
 * pause is not checked. Confined to the event loop.
 */
public final class HealthChecks {

	/**
	 * Age of the known load of a server, in milliseconds, at which the server is checked
	 * even if no request is about to be placed on it.
	 */
	static final long MAX_LOAD_AGE_MS = 200;

	/** Minimum time between two checks of a server, in milliseconds. */
	static final long MIN_INTERVAL_MS = 20;

	/** Like {@link #MAX_LOAD_AGE_MS} for an idle service, in milliseconds. */
	static final long IDLE_MAX_LOAD_AGE_MS = 1_000;

	/** Time without a request after which a service is idle, in milliseconds. */
	static final long IDLE_AFTER_MS = 3_000;

	/** Time without a response after which a check fails, in milliseconds. */
	private static final long TIMEOUT_MS = 500;

	/**
	 * Number of consecutive failed checks after which a server is reported as
	 * unreachable. A single check may fail because this process itself was delayed.
	 */
	private static final int FAILURE_THRESHOLD = 2;

	/** Size of the body of a response from which a check fails, in bytes. */
	private static final long MAX_BODY_BYTES = 65_536;

	private static final long MAX_CONNECTION_IDLE_MS = 8_000;

	private static final int OK = 200;

	private final ExchangeServices services;

	private final Roster roster;

	private final Map<ServerName, Check> running = new HashMap<>();

	private final Map<ServerName, Long> lastCheckedAt = new HashMap<>();

	private final Map<ServerName, Integer> failures = new HashMap<>();

	/**
	 * Creates an instance that has not checked any server yet.
	 * @param services the components shared with the exchanges
	 * @param roster determines the services for which this process is the dispatcher
	 */
	public HealthChecks(ExchangeServices services, Roster roster) {
		this.services = services;
		this.roster = roster;
	}

	/**
	 * Starts the checks that are due and fails those that have timed out.
	 */
	public void tick() {
		long now = this.services.clock().millis();
		for (Check check : Set.copyOf(this.running.values())) {
			check.expire(now);
		}
		if (this.roster.hubs().stream().noneMatch((hub) -> hub.vm().equals(this.roster.self().vm()))
				&& !this.roster.hubs().isEmpty()) {
			// Only hubs are dispatchers.
			return;
		}
		Map<ServiceName, Boolean> dispatchedHere = new HashMap<>();
		for (BackendInstance server : this.services.catalog().servers().values()) {
			if (dispatchedHere.computeIfAbsent(server.service(), this::isDispatchedHere) && isDue(server, now)) {
				check(server, now);
			}
		}
		this.lastCheckedAt.keySet().retainAll(this.services.catalog().serverNames());
		this.failures.keySet().retainAll(this.services.catalog().serverNames());
	}

	/**
	 * Checks a server immediately, unless its last check started less than
	 * {@link #MIN_INTERVAL_MS} ago or is still in progress.
	 * @param id the server
	 */
	public void refresh(ServerName id) {
		long now = this.services.clock().millis();
		BackendInstance server = this.services.catalog().server(id);
		if (server != null && this.services.announcements().isAvailable(server) && isDispatchedHere(server.service())
				&& !this.running.containsKey(id) && now - lastCheckedAt(id) >= MIN_INTERVAL_MS) {
			check(server, now);
		}
	}

	// A server that was never checked has a time far in the past, which can be subtracted
	// from any time without overflow.
	private long lastCheckedAt(ServerName id) {
		return this.lastCheckedAt.getOrDefault(id, Long.MIN_VALUE / 2);
	}

	private boolean isDispatchedHere(ServiceName service) {
		return this.roster.dispatcher(service).vm().equals(this.roster.self().vm());
	}

	private boolean isDue(BackendInstance server, long now) {
		if (!server.region().equals(this.roster.self().region()) || this.running.containsKey(server.id())
				|| !this.services.announcements().isAvailable(server)) {
			return false;
		}
		long sinceLastRequest = now - this.services.slots().dispatcher().lastRequestedAt(server.service());
		long maxAge = (sinceLastRequest < IDLE_AFTER_MS) ? MAX_LOAD_AGE_MS : IDLE_MAX_LOAD_AGE_MS;
		return now - lastCheckedAt(server.id()) >= maxAge
				&& this.services.slots().dispatcher().loadAgeMs(server.id()) >= maxAge;
	}

	private void check(BackendInstance server, long now) {
		ServiceSpec spec = this.services.slots().dispatcher().spec(server.service());
		if (spec == null) {
			return;
		}
		Check check = new Check(server, spec.healthPath(), now);
		this.running.put(server.id(), check);
		this.lastCheckedAt.put(server.id(), now);
		this.services.metrics().countHealthCheck();
		this.services.connectionPool().acquire(server, MAX_CONNECTION_IDLE_MS, check);
	}

	/**
	 * One check of one server.
	 *
	 * <p>
	 * Confined to the event loop.
	 */
	private final class Check implements BackendListener {

		private final BackendInstance server;

		private final String path;

		private final long startedAt;

		private @Nullable BackendConnection connection;

		private @Nullable HttpResponse response;

		private long bodyBytes;

		private boolean finished;

		private Check(BackendInstance server, String path, long startedAt) {
			this.server = server;
			this.path = path;
			this.startedAt = startedAt;
		}

		private void expire(long now) {
			if (now - this.startedAt >= TIMEOUT_MS) {
				abandon();
			}
		}

		private void abandon() {
			BackendConnection open = this.connection;
			if (open != null) {
				open.abandon();
			}
			fail();
		}

		private void fail() {
			if (this.finished) {
				return;
			}
			finish();
			int failures = HealthChecks.this.failures.merge(this.server.id(), 1, Integer::sum);
			if (failures >= FAILURE_THRESHOLD) {
				HealthChecks.this.services.slots().dispatcher().recordUnreachable(this.server.id());
			}
		}

		private void finish() {
			this.finished = true;
			HealthChecks.this.running.remove(this.server.id());
		}

		@Override
		public void connected(BackendConnection ready) {
			if (this.finished) {
				ready.channel().close();
				return;
			}
			this.connection = ready;
			HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, this.path);
			request.headers().set(HttpHeaderNames.HOST, this.server.host() + ":" + this.server.port());
			ready.setAcknowledgementTimeout(0, TIMEOUT_MS);
			// A response with the ID of a request is a late copy of an earlier response.
			ready.beginRequest(this, request, "", false);
			ready.write(LastHttpContent.EMPTY_LAST_CONTENT);
		}

		@Override
		public void unreachable(Throwable cause) {
			fail();
		}

		@Override
		public void headReceived(HttpResponse head) {
			this.response = head;
		}

		@Override
		public void contentReceived(HttpContent content) {
			this.bodyBytes += content.content().readableBytes();
			content.release();
			if (this.bodyBytes > MAX_BODY_BYTES) {
				abandon();
			}
		}

		@Override
		public void ended() {
			HttpResponse head = this.response;
			if (this.finished || head == null) {
				return;
			}
			finish();
			HealthChecks.this.failures.remove(this.server.id());
			ServerProtocol protocol = HealthChecks.this.services.protocol();
			String instance = protocol.instanceId(head.headers());
			if (instance != null && !instance.equals(this.server.id().value())) {
				HealthChecks.this.services.slots().dispatcher().recordUnreachable(this.server.id());
				return;
			}
			boolean healthy = head.status().code() == OK;
			HealthChecks.this.services.slots()
				.dispatcher()
				.recordHealthCheck(this.server.id(), protocol.load(head.headers()),
						healthy ? protocol.warmupLeftMs(head.headers()) : ServerProtocol.NO_TIME);
		}

		@Override
		public void readComplete() {
			// The response is short and is handled when it is complete.
		}

		@Override
		public void failed(String reason) {
			fail();
		}

		@Override
		public void writable() {
			// The request has already been written completely.
		}

	}

}
