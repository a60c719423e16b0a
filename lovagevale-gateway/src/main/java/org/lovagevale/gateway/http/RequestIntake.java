package org.lovagevale.gateway.http;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.LogLine;
import org.lovagevale.base.RandomSource;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.Route;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.gateway.ServerProtocol;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides what to do with the head of a request.
 *
 * <p>
 * Confined to the event loop.
 */
public final class RequestIntake {

	/** Limits that hold before a configuration is known. */
	static final RequestLimits FIRST_LIMITS = new RequestLimits(16_384, 1_048_576, 3_000, 15_000);

	/** A configuration is read within this time of the start, in milliseconds. */
	private static final int UNCONFIGURED_RETRY_MS = 500;

	/** The golden ratio spreads successive requests evenly over the shares of a route. */
	private static final double STEP = 0.618033988749895;

	private static final int OFFSETS = 1 << 20;

	private static final int BAD_REQUEST = 400;

	private static final int NOT_FOUND = 404;

	private static final int TOO_LARGE = 413;

	private static final int UNAVAILABLE = 503;

	private static final int NOT_IMPLEMENTED = 501;

	private static final Logger LOGGER = LoggerFactory.getLogger(RequestIntake.class);

	private final ExchangeServices services;

	private final Set<FrontConnection> open = new HashSet<>();

	private double position;

	/**
	 * Creates an intake.
	 * @param services what requests need
	 * @param random sets where the distribution over shares begins
	 */
	public RequestIntake(ExchangeServices services, RandomSource random) {
		this.services = services;
		this.position = random.nextInt(OFFSETS) / (double) OFFSETS;
	}

	long now() {
		return this.services.clock().millis();
	}

	RequestLimits limits() {
		ServingConfiguration configuration = this.services.catalog().configuration();
		return (configuration != null) ? configuration.limits() : FIRST_LIMITS;
	}

	FrontConnection opened() {
		FrontConnection connection = new FrontConnection(this);
		this.open.add(connection);
		return connection;
	}

	void closed(FrontConnection connection) {
		this.open.remove(connection);
	}

	Set<FrontConnection> connections() {
		return Set.copyOf(this.open);
	}

	void countRejected(int status) {
		this.services.metrics().countAnswer("", status, "entry", 0);
	}

	/**
	 * Takes the head of a request.
	 * @param head the head
	 * @param connection its connection
	 * @param caller the IP number of the caller
	 */
	void accept(HttpRequest head, FrontConnection connection, String caller) {
		Fault fault = fault(head);
		if (fault != null) {
			connection.rejectOwn(fault.status(), fault.reason());
			return;
		}
		ServingConfiguration configuration = this.services.catalog().configuration();
		if (configuration == null) {
			HttpHeaders headers = new DefaultHttpHeaders();
			this.services.protocol().setRetryAfter(headers, UNCONFIGURED_RETRY_MS);
			replyEarly(connection, head, UNAVAILABLE, "no configuration yet", headers);
			return;
		}
		String path = path(head.uri());
		Route route = configuration.routes().find(String.valueOf(head.headers().get(HttpHeaderNames.HOST)), path);
		if (route == null) {
			replyEarly(connection, head, NOT_FOUND, "no route", new DefaultHttpHeaders());
			return;
		}
		connection.handle(new Exchange(this.services, connection, request(head, route, configuration, caller)));
	}

	private CallerRequest request(HttpRequest head, Route route, ServingConfiguration configuration, String caller) {
		long now = now();
		long time = this.services.protocol().callerTimeoutMs(head.headers());
		long deadline = now + ((time == ServerProtocol.NO_TIME) ? route.timeoutMs() : time);
		this.position = (this.position + STEP) % 1;
		String id = String.valueOf(this.services.protocol().requestId(head.headers()));
		String relayedFor = this.services.protocol().relayedCaller(head.headers());
		return new CallerRequest(head, id, route, route.serviceAt(this.position), configuration.limits(),
				configuration.version(), (relayedFor != null) ? relayedFor : caller, relayedFor != null, now, deadline);
	}

	// The rest of the request is still to come and must not be taken for another one.
	private void replyEarly(FrontConnection connection, HttpRequest head, int status, String reason,
			HttpHeaders headers) {
		LOGGER.info("{}",
				LogLine.event("request.rejected")
					.with("id", String.valueOf(this.services.protocol().requestId(head.headers())))
					.with("status", status)
					.with("why", reason)
					.with("catalogAgeMs", this.services.catalog().ageMs()));
		countRejected(status);
		connection.replyAndDiscard(status, reason, headers);
	}

	private static String path(String uri) {
		int end = uri.indexOf('?');
		return (end < 0) ? uri : uri.substring(0, end);
	}

	private @Nullable Fault fault(HttpRequest head) {
		HttpHeaders headers = head.headers();
		List<String> hosts = headers.getAll(HttpHeaderNames.HOST);
		if (hosts.size() > 1 || hosts.isEmpty() || hosts.get(0).isBlank()) {
			return new Fault(BAD_REQUEST, hosts.size() + " Host headers, expected one");
		}
		if (!head.uri().startsWith("/") || head.method().equals(HttpMethod.CONNECT)) {
			return new Fault(BAD_REQUEST, "request target is not a path");
		}
		Fault framing = framingFault(head, headers);
		if (framing != null) {
			return framing;
		}
		if (this.services.protocol().requestId(headers) == null) {
			return new Fault(BAD_REQUEST, "request without an identity");
		}
		if (this.services.protocol().callerTimeoutMs(headers) == ServerProtocol.MALFORMED_TIME) {
			return new Fault(BAD_REQUEST, "malformed time of the caller");
		}
		return null;
	}

	private @Nullable Fault framingFault(HttpRequest head, HttpHeaders headers) {
		List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
		if (!codings.isEmpty()) {
			boolean chunked = codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked");
			if (!chunked) {
				return new Fault(NOT_IMPLEMENTED, "transfer coding " + String.join(",", codings));
			}
			if (head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
				return new Fault(BAD_REQUEST, "transfer coding in " + head.protocolVersion());
			}
		}
		String length = headers.get(HttpHeaderNames.CONTENT_LENGTH);
		if (length != null && tooLong(length)) {
			return new Fault(TOO_LARGE, "body of " + length + " bytes, at most " + limits().maxBodyBytes());
		}
		return null;
	}

	private boolean tooLong(String length) {
		try {
			return Long.parseLong(length.trim()) > limits().maxBodyBytes();
		}
		catch (NumberFormatException ex) {
			// More digits than a number of bytes can have.
			return true;
		}
	}

	/**
	 * Why a request is not handled.
	 *
	 * @param status the status
	 * @param reason the reason
	 */
	private record Fault(int status, String reason) {
	}

}
