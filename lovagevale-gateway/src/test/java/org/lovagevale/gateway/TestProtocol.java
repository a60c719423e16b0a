package org.lovagevale.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.ServerName;
import org.lovagevale.core.placing.ServerLoad;

/**
 * A protocol whose header names only the tests use.
 */
public final class TestProtocol implements ServerProtocol {

	@Override
	public String requestId(HttpHeaders headers) {
		return headers.get("Test-Id");
	}

	@Override
	public long callerTimeoutMs(HttpHeaders headers) {
		String text = headers.get("Test-Time");
		return (text != null) ? Long.parseLong(text) : NO_TIME;
	}

	@Override
	public @Nullable String credential(HttpHeaders headers) {
		return headers.get("Test-Credential");
	}

	@Override
	public void setServerHeaders(HttpHeaders headers, long timeLeftMs, ServerName server,
			@Nullable AccountName account) {
		headers.remove("Test-Credential");
		headers.remove("Test-Account");
		headers.remove("Test-Receiver");
		if (account != null) {
			headers.set("Test-Account", account.value());
		}
		headers.set("Test-Time", Long.toString(timeLeftMs));
		headers.set("Test-Server", server.value());
		headers.remove("Test-Caller");
	}

	@Override
	public boolean isSigned(HttpHeaders headers) {
		return headers.contains("Test-Signature");
	}

	@Override
	public boolean isNotExecuted(int status, HttpHeaders headers) {
		return headers.contains("Test-Not-Run");
	}

	@Override
	public boolean isReplaced(int status, HttpHeaders headers) {
		return status == 421 && (headers.contains("Test-Not-Run") || !isSigned(headers));
	}

	@Override
	public boolean isNotRunStatus(int status) {
		return status == 408 || status == 421 || status == 429 || status == 503;
	}

	@Override
	public boolean isLeaving(HttpHeaders headers) {
		return headers.contains("Test-Leaving");
	}

	@Override
	public long pauseMs(int status, HttpHeaders headers) {
		return (status == 503) ? retryAfterMs(headers) : NO_TIME;
	}

	@Override
	public ServerLoad load(HttpHeaders headers) {
		String load = headers.get("Test-Load");
		if (load == null) {
			return ServerLoad.UNKNOWN;
		}
		String[] figures = load.split("/");
		return new ServerLoad(Integer.parseInt(figures[0]), Integer.parseInt(figures[1]), Integer.parseInt(figures[2]),
				Integer.parseInt(figures[3]));
	}

	@Override
	public String instanceId(HttpHeaders headers) {
		return headers.get("Test-Server");
	}

	@Override
	public long warmupLeftMs(HttpHeaders headers) {
		return NO_TIME;
	}

	@Override
	public void setRetryAfter(HttpHeaders headers, long afterMs) {
		headers.set("Retry-After", Double.toString(afterMs / 1_000.0));
	}

	@Override
	public long retryAfterMs(HttpHeaders headers) {
		String text = headers.get("Retry-After");
		return (text != null) ? (long) (Double.parseDouble(text) * 1_000) : NO_TIME;
	}

	@Override
	public @Nullable String relayReceiver(HttpHeaders headers) {
		return headers.get("Test-Receiver");
	}

	@Override
	public void setRelayHeaders(HttpHeaders headers, long timeLeftMs, String caller, String receiver) {
		headers.set("Test-Receiver", receiver);
		headers.set("Test-Time", Long.toString(timeLeftMs));
		headers.set("Test-Caller", caller);
	}

	@Override
	public @Nullable String relayedCaller(HttpHeaders headers) {
		return headers.get("Test-Caller");
	}

	@Override
	public void setEarlierSends(HttpHeaders headers, int sends) {
		headers.set("Test-Earlier-Sends", Integer.toString(sends));
	}

	@Override
	public int earlierSends(HttpHeaders headers) {
		return headers.getInt("Test-Earlier-Sends", 0);
	}

}
