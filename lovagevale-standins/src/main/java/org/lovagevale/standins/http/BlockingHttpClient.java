package org.lovagevale.standins.http;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A blocking HTTP client for the control ports of stand-ins and the admin ports of entry
 * processes.
 *
 * <p>
 * Thread-safe.
 */
public final class BlockingHttpClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final int OK = 200;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(TIMEOUT)
		.build();

	/**
	 * Sends a GET request.
	 * @param url the URL
	 * @return the response body
	 * @throws IOException if no response with status 200 is received
	 * @throws InterruptedException if the thread is interrupted
	 */
	public String get(String url) throws IOException, InterruptedException {
		return send(HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).build());
	}

	/**
	 * Sends a GET request and parses the response as JSON.
	 * @param url the URL
	 * @return the JSON tree of the response
	 * @throws IOException if no response with status 200 is received
	 * @throws InterruptedException if the thread is interrupted
	 */
	public JsonNode getJson(String url) throws IOException, InterruptedException {
		return Json.read(get(url));
	}

	/**
	 * Sends a POST request and parses the response as JSON.
	 * @param url the URL
	 * @param body the text of the request body
	 * @return the JSON tree of the response
	 * @throws IOException if no response with status 200 is received
	 * @throws InterruptedException if the thread is interrupted
	 */
	public JsonNode post(String url, String body) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create(url))
			.timeout(TIMEOUT)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return Json.read(send(request));
	}

	/**
	 * Returns whether a GET request receives a response with status 200.
	 * @param url the URL
	 * @return {@code true} if a response with status 200 is received
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean isOk(String url) throws InterruptedException {
		try {
			get(url);
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private String send(HttpRequest request) throws IOException, InterruptedException {
		HttpResponse<String> response = this.client.send(request, HttpResponse.BodyHandlers.ofString());
		if (response.statusCode() != OK) {
			throw new IOException(request.uri() + " returned status " + response.statusCode());
		}
		return response.body();
	}

}
