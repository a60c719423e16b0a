package org.lovagevale.node.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.zip.CRC32;
import java.util.zip.CheckedOutputStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lovagevale.core.FailureKind;
import org.lovagevale.core.LoadReport;
import org.lovagevale.core.Outcome;
import org.lovagevale.core.RequestId;
import org.lovagevale.core.ServerState;
import org.lovagevale.core.StoredAnswer;
import org.lovagevale.core.decision.CancelAttempt;
import org.lovagevale.core.decision.Decision;
import org.lovagevale.core.decision.Dispatch;
import org.lovagevale.core.decision.ReadPrefix;
import org.lovagevale.core.decision.Replay;
import org.lovagevale.core.event.AnswerEnded;
import org.lovagevale.core.event.AnswerHeadArrived;
import org.lovagevale.core.event.AttemptFailed;
import org.lovagevale.core.event.CallerGone;
import org.lovagevale.core.event.HeadArrived;
import org.lovagevale.core.event.PrefixArrived;
import org.lovagevale.core.event.Ticked;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against responses that are truncated, sent to the wrong request or falsely
 * reported as not run, and against whole bodies held in memory.
 */
@Timeout(60)
class CallerServerTests {

	private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n"
			+ "Lovagevale-Load: inflight=2; slots=3; state=warm; boot=ab12\r\n\r\nok";

	private static final String GET_REQUEST = "GET /transfers/1?x=%20 HTTP/1.1\r\nHost: a\r\n\r\n";

	private static final int LARGE_BODY_BYTES = 96 * 1024 * 1024;

	// Guards against lost, repeated or reordered bytes in bodies that are too large to be
	// held in memory.
	@Test
	void streamsLargeBodiesBothWays() throws Exception {
		CompletableFuture<Long> received = new CompletableFuture<>();
		RawServer.Script script = (head, in, caller) -> {
			received.complete(checksum(in, LARGE_BODY_BYTES));
			caller.getOutputStream()
				.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n"));
			writeRandom(caller.getOutputStream(), 2);
		};
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(node.port)) {
			caller.send("POST /t HTTP/1.1\r\nHost: a\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n");
			assertThat(writeRandom(caller.out, 1)).isEqualTo(received.get(30, TimeUnit.SECONDS));
			assertThat(RawCaller.readHead(caller.in)).startsWith("HTTP/1.1 200");
			assertThat(checksum(caller.in, LARGE_BODY_BYTES))
				.isEqualTo(writeRandom(OutputStream.nullOutputStream(), 2));
		}
	}

	// Guards against buffering a whole response in memory for a caller that reads slowly.
	@Test
	void slowCallerAppliesBackpressureToTheServer() throws Exception {
		int[] written = new int[1];
		RawServer.Script script = (head, in, caller) -> {
			caller.getOutputStream()
				.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BODY_BYTES + "\r\n\r\n"));
			for (; written[0] < LARGE_BODY_BYTES; written[0] += 65_536) {
				caller.getOutputStream().write(new byte[65_536]);
			}
		};
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(node.port)) {
			caller.send(GET_REQUEST);
			RawCaller.readHead(caller.in);
			pause(1_500);
			assertThat(written[0]).isLessThan(LARGE_BODY_BYTES / 2);
			assertThat(caller.in.readNBytes(LARGE_BODY_BYTES)).hasSize(LARGE_BODY_BYTES);
		}
	}

	// Guards against a truncated response that looks complete: chunked, with a length, or
	// delimited by the end of the connection.
	@Test
	void truncatedResponseEndsWithoutFinalChunk() throws Exception {
		for (String rest : List.of("Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "Content-Length: 9\r\n\r\nhello",
				"\r\nhello")) {
			RawServer.Script script = (head, in, caller) -> {
				caller.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\n" + rest));
				pause(100);
				caller.close();
			};
			try (RawServer server = new RawServer(script);
					HttpFixture node = new HttpFixture(server.port());
					RawCaller caller = new RawCaller(node.port)) {
				caller.send(GET_REQUEST);
				assertThat(readUntilClosed(caller)).as(rest).doesNotContain("0\r\n\r\n");
				await(() -> !node.logic.events(AttemptFailed.class).isEmpty());
				assertThat(failureKinds(node)).containsExactly(FailureKind.LOST_IN_BODY);
				assertThat(node.logic.events(AnswerEnded.class)).isEmpty();
			}
		}
	}

	// Guards against sending the late response of a cancelled attempt to the next
	// request.
	@Test
	void lateResponseOfACancelledAttemptIsDropped() throws Exception {
		CountDownLatch cancelled = new CountDownLatch(1);
		RawServer.Script script = (head, in, caller) -> {
			if (head.startsWith("GET /slow")) {
				await(() -> cancelled.getCount() == 0);
				caller.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"));
				return;
			}
			caller.getOutputStream().write(ascii(OK_RESPONSE));
		};
		RequestId first = new RequestId(1);
		List<Decision> onTick = List.of(new CancelAttempt(first, 1), ScriptedLogic.refuse(first, Outcome.UNKNOWN));
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port(), (e) -> (e instanceof Ticked) ? onTick : null);
				RawCaller caller = new RawCaller(node.port)) {
			caller.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
			await(() -> server.heads.size() == 1);
			node.engine.apply(new Ticked());
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 502");
			caller.send(GET_REQUEST);
			pause(50);
			cancelled.countDown();
			assertThat(caller.readResponse()).endsWith("ok");
			assertThat(server.connections.get()).isEqualTo(2);
			assertThat(node.logic.events(AnswerHeadArrived.class)).extracting(AnswerHeadArrived::id)
				.doesNotContain(first);
		}
	}

	// Guards against reporting a request as not run that may have run, since its
	// connection was lost only after it was written.
	@Test
	void connectionLostAfterWriteIsReportedAsLostBeforeHead() throws Exception {
		RawServer.Script script = (head, in, caller) -> {
			if (head.startsWith("GET /first")) {
				caller.getOutputStream().write(ascii(OK_RESPONSE));
				return;
			}
			caller.close();
		};
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(node.port)) {
			caller.send(GET_REQUEST);
			assertThat(caller.readResponse()).contains("Lovagevale-Outcome: unknown");
			assertThat(failureKinds(node)).containsExactly(FailureKind.LOST_BEFORE_HEAD);
			caller.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
			assertThat(caller.readResponse()).endsWith("ok");
			caller.send(GET_REQUEST);
			assertThat(caller.readResponse()).contains("Lovagevale-Outcome: unknown");
			assertThat(failureKinds(node)).containsExactly(FailureKind.LOST_BEFORE_HEAD, FailureKind.LOST_BEFORE_HEAD);
			assertThat(server.heads).as("no hidden retry").hasSize(3);
		}
	}

	// Guards against an unknown outcome when the server refused the connection.
	@Test
	void refusedConnectionIsNotConnected() throws Exception {
		try (Socket refusing = boundSocket();
				HttpFixture node = new HttpFixture(refusing.getLocalPort());
				RawCaller caller = new RawCaller(node.port)) {
			caller.send(GET_REQUEST);
			assertThat(caller.readResponse()).contains("Lovagevale-Outcome: not-run");
			assertThat(failureKinds(node)).containsExactly(FailureKind.NOT_CONNECTED);
		}
	}

	// Guards against writing a request after its deadline, for example after a pause of
	// the process.
	@Test
	void nothingIsWrittenAfterTheDeadline() throws Exception {
		try (RawServer server = new RawServer((head, in, caller) -> caller.getOutputStream().write(ascii(OK_RESPONSE)));
				HttpFixture node = new HttpFixture(server.port(), (e) -> (e instanceof PrefixArrived p)
						? List.of(withExpiredDeadline(ScriptedLogic.dispatch(p.id(), 1, server.port(), 5_000))) : null);
				RawCaller caller = new RawCaller(node.port)) {
			caller.send(GET_REQUEST);
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 502");
			assertThat(failureKinds(node)).containsExactly(FailureKind.TIMED_OUT);
			pause(100);
			assertThat(server.heads).isEmpty();
		}
	}

	// Guards against an attempt that never ends, and against reusing the connection of a
	// timed-out attempt.
	@Test
	void timeoutClosesTheConnection() throws Exception {
		RawServer.Script script = (head, in, caller) -> {
			if (head.startsWith("GET /slow")) {
				pause(400);
			}
			caller.getOutputStream().write(ascii(OK_RESPONSE));
		};
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port(),
						(e) -> (e instanceof PrefixArrived p)
								? List.of(ScriptedLogic.dispatch(p.id(), 1, server.port(), 200)) : null);
				RawCaller caller = new RawCaller(node.port)) {
			caller.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 502");
			assertThat(failureKinds(node)).containsExactly(FailureKind.TIMED_OUT);
			caller.send(GET_REQUEST);
			assertThat(caller.readResponse()).endsWith("ok");
			assertThat(server.connections.get()).isEqualTo(2);
		}
	}

	// Guards against accepting bodies above the limit, with or without Content-Length,
	// and against a reset before the caller could read the response.
	@Test
	void oversizedBodyGets413() throws Exception {
		try (RawServer server = new RawServer((head, in, caller) -> in.skipNBytes(LARGE_BODY_BYTES));
				HttpFixture node = new HttpFixture(server.port())) {
			node.logic.maxRequestBytes = 10_000;
			try (RawCaller caller = new RawCaller(node.port)) {
				caller.send("POST /t HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n");
				caller.out.write(new byte[200_000]);
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 413").contains("Lovagevale-Outcome: not-run");
			}
			try (RawCaller caller = new RawCaller(node.port)) {
				caller.send("POST /t HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
				for (int i = 0; i < 20; i++) {
					caller.send("1000\r\n" + "x".repeat(4_096) + "\r\n");
				}
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 413").contains("\"body-too-large\"");
			}
			// With an idempotency key, "not-run" would be wrong if an earlier copy ran.
			try (RawCaller caller = new RawCaller(node.port)) {
				caller.send("POST /t HTTP/1.1\r\nHost: a\r\nIdempotency-Key: entry-01.1-1.0.a\r\n"
						+ "Content-Length: 200000\r\n\r\n");
				caller.out.write(new byte[200_000]);
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 413").contains("Lovagevale-Outcome: unknown");
			}
			assertThat(node.logic.events(CallerGone.class)).hasSize(3);
		}
	}

	// Guards against a second attempt that sends only the remainder of a body whose first
	// bytes were released.
	@Test
	void bodyIsSentAgainOnlyIfItWasKept() throws Exception {
		byte[] small = new byte[50_000];
		new Random(3).nextBytes(small);
		List<Long> sums = new CopyOnWriteArrayList<>();
		RawServer.Script script = (head, in, caller) -> {
			sums.add(checksum(in, (int) RawCaller.contentLength(head)));
			if (head.contains("Lovagevale-Attempt: 2")) {
				caller.getOutputStream().write(ascii(OK_RESPONSE));
			}
			else {
				caller.close();
			}
		};
		ScriptedLogic[] logic = new ScriptedLogic[1];
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port(),
						(e) -> (e instanceof AttemptFailed f && f.attempt() == 1)
								? List.of(logic[0].dispatch(f.id(), 2)) : null);
				RawCaller caller = new RawCaller(node.port)) {
			logic[0] = node.logic;
			caller.send("PUT /t HTTP/1.1\r\nHost: a\r\nContent-Length: " + small.length + "\r\n\r\n");
			caller.out.write(small);
			assertThat(caller.readResponse()).endsWith("ok");
			assertThat(sums).hasSize(2).allMatch(sums.get(0)::equals);
			caller.send("PUT /t HTTP/1.1\r\nHost: a\r\nContent-Length: 400000\r\n\r\n");
			caller.out.write(new byte[400_000]);
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 502").contains("Lovagevale-Outcome: unknown");
			assertThat(server.heads).hasSize(3);
		}
	}

	@Test
	void requestWithoutExactlyOneHostIsRejected() throws Exception {
		RawServer.Script script = (head, in, caller) -> caller.getOutputStream().write(ascii(OK_RESPONSE));
		try (RawServer server = new RawServer(script); HttpFixture node = new HttpFixture(server.port())) {
			for (String hosts : List.of("", "Host: a\r\nHost: b\r\n")) {
				try (RawCaller caller = new RawCaller(node.port)) {
					caller.send("GET /t HTTP/1.1\r\n" + hosts + "\r\n");
					assertThat(caller.readResponse()).startsWith("HTTP/1.1 400");
				}
			}
			assertThat(server.heads).isEmpty();
		}
	}

	// Guards against reusing a connection on which the rest of an earlier request is
	// still being sent, because the server answered early.
	@Test
	void earlyResponseIsForwardedAndClosesTheConnection() throws Exception {
		RawServer.Script script = (head, in, caller) -> {
			caller.getOutputStream().write(ascii(OK_RESPONSE));
			if (head.startsWith("PUT")) {
				pause(500);
			}
		};
		try (RawServer server = new RawServer(script); HttpFixture node = new HttpFixture(server.port())) {
			try (RawCaller caller = new RawCaller(node.port)) {
				caller.send("PUT /t HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n");
				caller.out.write(new byte[100_000]);
				assertThat(caller.readResponse()).containsIgnoringCase("connection: close").endsWith("ok");
			}
			try (RawCaller caller = new RawCaller(node.port)) {
				caller.send(GET_REQUEST);
				assertThat(caller.readResponse()).endsWith("ok");
			}
			assertThat(server.connections.get()).isEqualTo(2);
		}
	}

	// Guards against closing the server connection with each request that a busy server
	// rejects.
	@Test
	void rejectionByServerKeepsTheConnection() throws Exception {
		RawServer.Script script = (head, in, caller) -> caller.getOutputStream()
			.write(ascii(head.contains("Lovagevale-Attempt: 2") ? OK_RESPONSE
					: "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nLovagevale-Not-Run: true\r\n\r\nbusy"));
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port(),
						(e) -> (e instanceof AnswerHeadArrived a && a.notRun())
								? List.of(ScriptedLogic.dispatch(a.id(), 2, server.port(), 5_000)) : null);
				RawCaller caller = new RawCaller(node.port)) {
			for (int i = 0; i < 10; i++) {
				caller.send(GET_REQUEST);
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").endsWith("ok");
			}
			assertThat(server.heads).hasSize(20);
			assertThat(server.connections.get()).isLessThanOrEqualTo(2);
		}
	}

	// Guards against a body where HTTP allows none, which the caller would take for the
	// next response, and against a caller that never receives 100 (Continue).
	@Test
	void framingOfUnusualResponsesIsKept() throws Exception {
		RawServer.Script script = (head, in, caller) -> {
			in.readNBytes((int) RawCaller.contentLength(head));
			String answer = head.startsWith("HEAD") ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
					: head.startsWith("GET /none") ? "HTTP/1.1 204 None\r\n\r\n"
							: head.startsWith("GET /same") ? "HTTP/1.1 304 Same\r\nETag: \"1\"\r\n\r\n" : OK_RESPONSE;
			caller.getOutputStream().write(ascii(answer));
		};
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(node.port)) {
			caller.send("HEAD /t HTTP/1.1\r\nHost: a\r\n\r\n");
			assertThat(RawCaller.readHead(caller.in)).startsWith("HTTP/1.1 200")
				.containsIgnoringCase("content-length: 5");
			caller.send("GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
			assertThat(RawCaller.readHead(caller.in)).startsWith("HTTP/1.1 204")
				.doesNotContainIgnoringCase("transfer-encoding");
			caller.send("GET /same HTTP/1.1\r\nHost: a\r\n\r\n");
			assertThat(RawCaller.readHead(caller.in)).startsWith("HTTP/1.1 304").contains("ETag: \"1\"");
			caller.send("PUT /t HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
			assertThat(RawCaller.readHead(caller.in)).startsWith("HTTP/1.1 100");
			caller.send("abc");
			assertThat(caller.readResponse()).startsWith("HTTP/1.1 200").endsWith("ok");
			assertThat(server.heads).last().asString().doesNotContainIgnoringCase("expect");
			assertThat(server.connections.get()).isEqualTo(1);
		}
	}

	// Guards against a replayed response that callers cannot distinguish from a new one.
	@Test
	void replayCarriesTheStoredResponse() throws Exception {
		try (HttpFixture node = new HttpFixture(1,
				(e) -> (e instanceof HeadArrived h)
						? List.of(new Replay(h.id(), new StoredAnswer(201, "text/plain", ascii("first")))) : null);
				RawCaller caller = new RawCaller(node.port)) {
			for (int i = 0; i < 2; i++) {
				caller.send(GET_REQUEST);
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 201")
					.containsIgnoringCase("content-type: text/plain")
					.contains("Lovagevale-Outcome: ran")
					.endsWith("\r\n\r\nfirst");
			}
		}
	}

	// Guards against holding back small chunks until more bytes arrive.
	@Test
	void chunksAreForwardedAsTheyArrive() throws Exception {
		CountDownLatch seen = new CountDownLatch(1);
		RawServer.Script script = (head, in, caller) -> {
			in.readNBytes(3);
			seen.countDown();
			in.readNBytes(3);
			caller.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc"));
			pause(2_000);
			caller.getOutputStream().write(ascii("def"));
		};
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port(),
						(e) -> (e instanceof HeadArrived h) ? List.of(new ReadPrefix(h.id(), 3, 100, 5_000)) : null);
				RawCaller caller = new RawCaller(node.port)) {
			caller.send("PUT /t HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nabc");
			assertThat(seen.await(2, TimeUnit.SECONDS)).isTrue();
			caller.send("def");
			RawCaller.readHead(caller.in);
			long start = System.nanoTime();
			assertThat(caller.in.readNBytes(3)).isEqualTo(ascii("abc"));
			assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(1_000);
			assertThat(caller.in.readNBytes(3)).isEqualTo(ascii("def"));
		}
	}

	// Guards against forwarding hop-by-hop headers, and against adding a body to a
	// request that has none.
	@Test
	void hopByHopHeadersAreNotForwarded() throws Exception {
		RawServer.Script script = (head, in, caller) -> caller.getOutputStream()
			.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\n"
					+ "Lovagevale-Load: inflight=2; slots=3; state=warm; boot=ab12\r\n\r\nok"));
		try (RawServer server = new RawServer(script);
				HttpFixture node = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(node.port)) {
			caller.send("GET /a%2Fb/?q=%7C&r HTTP/1.1\r\nHost: shop\r\nConnection: X-Mine, keep-alive\r\nX-Mine: 1\r\n"
					+ "Lovagevale-Account: tutors\r\nLovagevale-Deadline: 1\r\nIdempotency-Key: k\r\n\r\n");
			assertThat(caller.readResponse()).contains("X-End: 1")
				.contains("Lovagevale-Vm: entry-01")
				.doesNotContain("X-Hop", "Lovagevale-Load");
			assertThat(server.heads.get(0)).startsWith("GET /a%2Fb/?q=%7C&r HTTP/1.1\r\n")
				.containsIgnoringCase("host: shop")
				.contains("Lovagevale-Account: tutors", "Idempotency-Key: k", "Lovagevale-Attempt: 1")
				.doesNotContainIgnoringCase("x-mine", "transfer-encoding", "content-length", "Deadline: 1\r\n");
			AnswerHeadArrived head = node.logic.events(AnswerHeadArrived.class).get(0);
			assertThat(head.report()).isEqualTo(new LoadReport(2, 3, ServerState.WARM, "ab12"));
		}
	}

	// Guards against a stored response that differs from the one sent, and against
	// opening a new server connection for each request.
	@Test
	void keepsSmallResponsesAndReusesConnections() throws Exception {
		try (RawServer server = new RawServer((head, in, caller) -> caller.getOutputStream().write(ascii(OK_RESPONSE)));
				HttpFixture node = new HttpFixture(server.port());
				RawCaller caller = new RawCaller(node.port)) {
			for (int i = 0; i < 20; i++) {
				caller.send(GET_REQUEST);
				assertThat(caller.readResponse()).endsWith("ok");
			}
			await(() -> node.logic.events(AnswerEnded.class).size() == 20);
			assertThat(server.connections.get()).isEqualTo(1);
			assertThat(node.logic.events(AnswerEnded.class)).allSatisfy((ended) -> {
				assertThat(ended.stored()).isNotNull();
				assertThat(ended.stored().body()).asString(StandardCharsets.US_ASCII).isEqualTo("ok");
				assertThat(ended.stored().contentType()).isEqualTo("text/plain");
			});
			await(() -> node.engine.openRequestCount() == 0);
		}
	}

	// Guards against attempts that continue after their caller has disconnected, and
	// against losing an outcome that the decision logic still needs.
	@Test
	void logicDecidesWhetherAnAttemptContinuesWithoutItsCaller() throws Exception {
		for (boolean continues : List.of(false, true)) {
			CountDownLatch left = new CountDownLatch(1);
			CompletableFuture<Integer> end = new CompletableFuture<>();
			RawServer.Script script = (head, in, caller) -> {
				await(() -> left.getCount() == 0);
				end.complete(answerThenRead(caller, in));
			};
			try (RawServer server = new RawServer(script);
					HttpFixture node = new HttpFixture(server.port(), (e) -> switch (e) {
						case CallerGone g -> continues ? List.of() : List.of(new CancelAttempt(g.id(), 1));
						case AnswerHeadArrived a -> List.of(new CancelAttempt(a.id(), 1));
						default -> null;
					})) {
				try (RawCaller caller = new RawCaller(node.port)) {
					caller.send(GET_REQUEST);
					await(() -> !server.heads.isEmpty());
				}
				await(() -> node.logic.events(CallerGone.class).size() == 1);
				left.countDown();
				assertThat(end.get(5, TimeUnit.SECONDS)).isEqualTo(-1);
				await(() -> node.engine.openRequestCount() == 0);
				assertThat(node.logic.events(AnswerHeadArrived.class)).hasSize(continues ? 1 : 0);
			}
		}
	}

	// Guards against callers and servers that keep a request open without sending
	// anything.
	@Test
	void idleTimeoutEndsARequest() throws Exception {
		RawServer.Script script = (head, in, caller) -> {
			caller.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"));
			in.read();
		};
		try (RawServer server = new RawServer(script); HttpFixture node = new HttpFixture(server.port())) {
			node.logic.idleTimeoutMs = 300;
			try (RawCaller silent = new RawCaller(node.port); RawCaller waiting = new RawCaller(node.port)) {
				silent.send("POST /t HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhello");
				assertThat(readUntilClosed(silent)).isEmpty();
				waiting.send(GET_REQUEST);
				assertThat(readUntilClosed(waiting)).endsWith("hello");
			}
			await(() -> !node.logic.events(CallerGone.class).isEmpty() && !failureKinds(node).isEmpty());
			assertThat(failureKinds(node)).containsExactly(FailureKind.LOST_IN_BODY);
		}
	}

	// Guards against malformed requests that reach the decision logic or affect other
	// requests.
	@Test
	void malformedRequestsAreRejected() throws Exception {
		try (RawServer server = new RawServer((head, in, caller) -> caller.getOutputStream().write(ascii(OK_RESPONSE)));
				HttpFixture node = new HttpFixture(server.port())) {
			for (String text : List.of("nonsense\r\n\r\n", "GET /t HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
					"GET /t|x HTTP/1.1\r\nHost: a\r\n\r\n",
					"GET /t HTTP/1.1\r\nHost: a\r\nLovagevale-Account: Not Valid\r\n\r\n",
					"GET /t HTTP/1.1\r\nHost: a\r\nLovagevale-Timeout-Ms: soon\r\n\r\n",
					"POST /t HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
					"GET /t HTTP/1.1\r\nHost: a\r\n" + "X: 1\r\n".repeat(200) + "\r\n",
					"GET /" + "t".repeat(9_000) + " HTTP/1.1\r\nHost: a\r\n\r\n",
					"GET /t HTTP/1.1\r\nHost: a\r\nX: " + "t".repeat(20_000) + "\r\n\r\n")) {
				try (RawCaller caller = new RawCaller(node.port)) {
					caller.send(text);
					assertThat(RawCaller.readHead(caller.in)).as(text).startsWith("HTTP/1.1 4");
				}
			}
			assertThat(node.logic.events(HeadArrived.class)).isEmpty();
			try (RawCaller caller = new RawCaller(node.port)) {
				caller.send(GET_REQUEST);
				assertThat(caller.readResponse()).endsWith("ok");
			}
		}
	}

	// Guards against refusals without the headers and the body that callers interpret.
	@Test
	void refusalHasHeadersAndBody() throws Exception {
		try (HttpFixture node = new HttpFixture(1,
				(e) -> (e instanceof HeadArrived h) ? List.of(ScriptedLogic.refuse(h.id(), Outcome.NOT_RUN)) : null);
				RawCaller caller = new RawCaller(node.port)) {
			for (int i = 1; i < 3; i++) {
				caller.send(GET_REQUEST);
				assertThat(caller.readResponse()).startsWith("HTTP/1.1 502")
					.containsIgnoringCase("Retry-After: 2\r\n")
					.contains("Lovagevale-Outcome: not-run\r\n", "Lovagevale-Reason: server-failed\r\n",
							"Lovagevale-Request-Id: " + i + "\r\n", "Lovagevale-Vm: entry-01\r\n")
					.endsWith("{\"reason\":\"server-failed\",\"outcome\":\"not-run\","
							+ "\"message\":\"Try \\\"later\\\".\"}");
			}
		}
	}

	private static int answerThenRead(Socket caller, InputStream in) {
		try {
			caller.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello"));
			return in.read();
		}
		catch (IOException ex) {
			return -1;
		}
	}

	private static Dispatch withExpiredDeadline(Dispatch d) {
		return new Dispatch(d.id(), d.attempt(), d.server(), System.currentTimeMillis() - 1, d.timeoutMs(), d.retried(),
				d.selectionReason());
	}

	private static List<FailureKind> failureKinds(HttpFixture node) {
		return node.logic.events(AttemptFailed.class).stream().map(AttemptFailed::kind).toList();
	}

	// Holds its port, so that no other process can listen on it, and refuses connections.
	private static Socket boundSocket() throws IOException {
		Socket socket = new Socket();
		socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		return socket;
	}

	private static byte[] ascii(String text) {
		return text.getBytes(StandardCharsets.US_ASCII);
	}

	private static long writeRandom(OutputStream target, long seed) throws IOException {
		CheckedOutputStream out = new CheckedOutputStream(target, new CRC32());
		Random random = new Random(seed);
		byte[] chunk = new byte[65_536];
		for (int i = 0; i < LARGE_BODY_BYTES; i += chunk.length) {
			random.nextBytes(chunk);
			out.write(chunk);
		}
		out.flush();
		return out.getChecksum().getValue();
	}

	private static long checksum(InputStream in, int length) throws IOException {
		CRC32 sum = new CRC32();
		byte[] chunk = new byte[65_536];
		int left = length;
		while (left > 0) {
			int count = in.read(chunk, 0, Math.min(left, chunk.length));
			if (count < 0) {
				throw new IOException("closed with " + left + " bytes missing");
			}
			sum.update(chunk, 0, count);
			left -= count;
		}
		return sum.getValue();
	}

	private static String readUntilClosed(RawCaller caller) {
		StringBuilder text = new StringBuilder();
		try {
			for (int c = caller.in.read(); c >= 0; c = caller.in.read()) {
				text.append((char) c);
			}
		}
		catch (IOException ex) {
			// A reset closes the connection as well.
		}
		return text.toString();
	}

	private static void await(BooleanSupplier condition) {
		for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
			pause(10);
		}
		assertThat(condition.getAsBoolean()).as("condition within 10 s").isTrue();
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
