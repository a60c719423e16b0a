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
 * Checks the servers that this process gives slots of, to learn their load.
 *
 * <p>
 * A server is checked when a request is about to be placed on it and its load is not
 * known well enough, and else now and then. Invariant: one check at a time for each
 * server, at least {@link #SPACING_MS} after the last. Confined to the event loop.
 */
public final class HealthChecks {

	/** The age of the load at which a server is checked in any case, in milliseconds. */
	static final long REFRESH_MS = 200;

	/** The least time between two checks of a server, in milliseconds. */
	static final long SPACING_MS = 20;

	/** The same while no requests come, in milliseconds. */
	static final long IDLE_REFRESH_MS = 1_000;

	/** A service counts as idle after this time without a request, in milliseconds. */
	static final long IDLE_AFTER_MS = 3_000;

	/** A check without a response counts as failed after this time, in milliseconds. */
	private static final long TIMEOUT_MS = 500;

	/** A single check may fail because this process was late itself. */
	private static final int FAILURES = 2;

	private static final long MAX_IDLE_MS = 8_000;

	private static final int OK = 200;

	private final ExchangeServices services;

	private final Roster roster;

	private final Map<ServerName, Check> running = new HashMap<>();

	private final Map<ServerName, Long> checkedAt = new HashMap<>();

	private final Map<ServerName, Integer> failures = new HashMap<>();

	/**
	 * Creates checks.
	 * @param services what requests need
	 * @param roster tells which servers are checked here
	 */
	public HealthChecks(ExchangeServices services, Roster roster) {
		this.services = services;
		this.roster = roster;
	}

	/**
	 * Starts the checks that are due and ends those that take too long.
	 */
	public void tick() {
		long now = this.services.clock().millis();
		for (Check check : Set.copyOf(this.running.values())) {
			check.expire(now);
		}
		Map<ServiceName, Boolean> here = new HashMap<>();
		for (BackendInstance server : this.services.catalog().servers().values()) {
			if (here.computeIfAbsent(server.service(), this::isDispatchedHere) && isDue(server, now)) {
				check(server, now);
			}
		}
		this.checkedAt.keySet().retainAll(this.services.catalog().serverNames());
		this.failures.keySet().retainAll(this.services.catalog().serverNames());
	}

	/**
	 * Checks a server at once, unless it was checked just now.
	 * @param id the server
	 */
	public void refresh(ServerName id) {
		long now = this.services.clock().millis();
		BackendInstance server = this.services.catalog().server(id);
		if (server != null && isDispatchedHere(server.service()) && !this.running.containsKey(id)
				&& now - lastCheck(id) >= SPACING_MS) {
			check(server, now);
		}
	}

	private long lastCheck(ServerName id) {
		return this.checkedAt.getOrDefault(id, Long.MIN_VALUE / 2);
	}

	private boolean isDispatchedHere(ServiceName service) {
		return this.roster.dispatcher(service).vm().equals(this.roster.self().vm());
	}

	private boolean isDue(BackendInstance server, long now) {
		if (!server.region().equals(this.roster.self().region()) || this.running.containsKey(server.id())) {
			return false;
		}
		long quiet = now - this.services.slots().dispatcher().lastRequestedAt(server.service());
		long refresh = (quiet < IDLE_AFTER_MS) ? REFRESH_MS : IDLE_REFRESH_MS;
		return now - lastCheck(server.id()) >= refresh
				&& this.services.slots().dispatcher().loadAgeMs(server.id()) >= refresh;
	}

	private void check(BackendInstance server, long now) {
		ServiceSpec spec = this.services.slots().dispatcher().spec(server.service());
		if (spec == null) {
			return;
		}
		Check check = new Check(server, spec.healthPath(), now);
		this.running.put(server.id(), check);
		this.checkedAt.put(server.id(), now);
		this.services.metrics().countHealthCheck();
		this.services.connections().acquire(server, MAX_IDLE_MS, check);
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

		private boolean over;

		private Check(BackendInstance server, String path, long startedAt) {
			this.server = server;
			this.path = path;
			this.startedAt = startedAt;
		}

		private void expire(long now) {
			if (now - this.startedAt >= TIMEOUT_MS) {
				BackendConnection open = this.connection;
				if (open != null) {
					open.abandon();
				}
				fail();
			}
		}

		private void fail() {
			if (this.over) {
				return;
			}
			finish();
			int failures = HealthChecks.this.failures.merge(this.server.id(), 1, Integer::sum);
			if (failures >= FAILURES) {
				HealthChecks.this.services.slots().dispatcher().recordUnreachable(this.server.id());
			}
		}

		private void finish() {
			this.over = true;
			HealthChecks.this.running.remove(this.server.id());
		}

		@Override
		public void connected(BackendConnection ready) {
			if (this.over) {
				ready.channel().close();
				return;
			}
			this.connection = ready;
			HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, this.path);
			request.headers().set(HttpHeaderNames.HOST, this.server.host() + ":" + this.server.port());
			ready.begin(this, request, "");
			ready.write(LastHttpContent.EMPTY_LAST_CONTENT);
		}

		@Override
		public void unreachable(Throwable cause) {
			fail();
		}

		@Override
		public void head(HttpResponse head) {
			this.response = head;
		}

		@Override
		public void content(HttpContent content) {
			content.release();
		}

		@Override
		public void ended() {
			HttpResponse head = this.response;
			if (this.over || head == null) {
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
		public void paused() {
			// The response is short; its end follows.
		}

		@Override
		public void failed(String reason) {
			fail();
		}

		@Override
		public void writable() {
			// Nothing more is written.
		}

	}

}
