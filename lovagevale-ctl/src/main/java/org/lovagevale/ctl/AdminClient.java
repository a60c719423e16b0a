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
 * HTTP client for the admin port of an entry process.
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
	 * Sends a GET request.
	 * @param path the path, encoded, starting with a slash
	 * @return the JSON value of the response
	 * @throws CtlException if the process cannot be reached or does not respond with
	 * status 200 and JSON
	 */
	JsonNode get(String path) throws CtlException {
		Response response = send(path);
		if (response.status() != HttpResponseStatus.OK.code()) {
			throw failureOf(response);
		}
		return toJson(response.body());
	}

	private CtlException failureOf(Response response) {
		boolean notFound = response.status() == HttpResponseStatus.NOT_FOUND.code();
		String advice = errorMessageOf(response.body());
		if (advice.isEmpty()) {
			advice = notFound ? "check the spelling" : "check that this is its admin address";
		}
		return new CtlException(notFound ? ExitCode.INCORRECT : ExitCode.ENVIRONMENT,
				"the process at " + this.address + " responded with status " + response.status() + ": " + advice);
	}

	private static String errorMessageOf(byte[] body) {
		try {
			return Printer.MAPPER.readTree(body).path("message").asText();
		}
		catch (IOException ex) {
			return "";
		}
	}

	private Response send(String path) throws CtlException {
		Response response;
		try {
			response = this.client.get().uri(path).responseSingle(AdminClient::toResponse).block(TOTAL_TIMEOUT);
		}
		catch (RuntimeException ex) {
			Throwable cause = (ex.getCause() != null) ? ex.getCause() : ex;
			throw new CtlException(ExitCode.ENVIRONMENT, "the process at " + this.address + " does not respond ("
					+ describeFailure(cause) + "); check the address and that the process runs");
		}
		if (response == null) {
			throw new CtlException(ExitCode.ENVIRONMENT, "the process at " + this.address + " sent no response");
		}
		return response;
	}

	private static String describeFailure(Throwable cause) {
		String message = cause.getMessage();
		// The exception for Reactor Netty's response timeout has no message.
		return (message != null) ? message : "nothing received for " + RESPONSE_TIMEOUT.toSeconds() + " s";
	}

	private static Mono<Response> toResponse(HttpClientResponse response, ByteBufMono body) {
		return body.asByteArray()
			.defaultIfEmpty(new byte[0])
			.map((bytes) -> new Response(response.status().code(), bytes));
	}

	private JsonNode toJson(byte[] body) throws CtlException {
		try {
			JsonNode json = Printer.MAPPER.readTree(body);
			if (json.isMissingNode()) {
				throw notJson("empty body");
			}
			return json;
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

	private record Response(int status, byte[] body) {
	}

}
