package org.lovagevale.ctl;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpResponseStatus;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Client for the admin port of an entry process.
 *
 * <p>
 * Thread-safe.
 */
final class AdminClient {

	private static final int CONNECT_TIMEOUT_MS = 3_000;

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration TOTAL_TIMEOUT = Duration.ofSeconds(15);

	private final AdminAddress address;

	private final HttpClient client;

	AdminClient(AdminAddress address) {
		this.address = address;
		this.client = HttpClient.newConnection()
			.host(address.host())
			.port(address.port())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.responseTimeout(RESPONSE_TIMEOUT);
	}

	/**
	 * Requests a page.
	 * @param path the path, encoded, starting with a slash
	 * @return the JSON value of the response
	 * @throws CtlException if the process cannot be reached or does not respond with
	 * status 200 and JSON
	 */
	JsonNode get(String path) throws CtlException {
		Page page = read(path);
		if (page.status() != HttpResponseStatus.OK.code()) {
			throw failure(page);
		}
		return toJson(page.body());
	}

	private CtlException failure(Page page) {
		boolean absent = page.status() == HttpResponseStatus.NOT_FOUND.code();
		String advice = messageOf(page.body());
		if (advice.isEmpty()) {
			advice = absent ? "check the spelling" : "check that this is its admin address";
		}
		return new CtlException(absent ? ExitCode.INCORRECT : ExitCode.ENVIRONMENT,
				"the process at " + this.address + " responded with status " + page.status() + ": " + advice);
	}

	private static String messageOf(byte[] body) {
		try {
			return Printer.MAPPER.readTree(body).path("message").asText();
		}
		catch (IOException ex) {
			return "";
		}
	}

	private Page read(String path) throws CtlException {
		Page page;
		try {
			page = this.client.get().uri(path).responseSingle(AdminClient::toPage).block(TOTAL_TIMEOUT);
		}
		catch (RuntimeException ex) {
			Throwable cause = (ex.getCause() != null) ? ex.getCause() : ex;
			throw new CtlException(ExitCode.ENVIRONMENT, "the process at " + this.address + " does not respond ("
					+ reasonOf(cause) + "); check the address and that the process runs");
		}
		if (page == null) {
			throw new CtlException(ExitCode.ENVIRONMENT, "the process at " + this.address + " sent no response");
		}
		return page;
	}

	private static String reasonOf(Throwable cause) {
		String message = cause.getMessage();
		// The exception for Reactor Netty's response timeout has no message.
		return (message != null) ? message : "nothing received for " + RESPONSE_TIMEOUT.toSeconds() + " s";
	}

	private static Mono<Page> toPage(HttpClientResponse response, ByteBufMono body) {
		return body.asByteArray().defaultIfEmpty(new byte[0]).map((bytes) -> new Page(response.status().code(), bytes));
	}

	private JsonNode toJson(byte[] body) throws CtlException {
		try {
			JsonNode page = Printer.MAPPER.readTree(body);
			if (page.isMissingNode()) {
				throw notJson("empty body");
			}
			return page;
		}
		catch (JsonProcessingException ex) {
			throw notJson(ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw notJson(String.valueOf(ex.getMessage()));
		}
	}

	private CtlException notJson(String reason) {
		return new CtlException(ExitCode.ENVIRONMENT, "the process at " + this.address + " did not respond with JSON ("
				+ reason + "); check that this is its admin address");
	}

	private record Page(int status, byte[] body) {
	}

}
