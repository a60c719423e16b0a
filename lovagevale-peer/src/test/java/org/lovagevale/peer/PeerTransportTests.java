package org.lovagevale.peer;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.ProcessIdentity;
import org.lovagevale.core.event.Event;
import org.lovagevale.core.event.PeerConnected;
import org.lovagevale.core.event.PeerLost;
import org.lovagevale.core.event.PeerMessageReceived;
import org.lovagevale.core.event.PeerRefused;
import org.lovagevale.core.message.SuspectNoticeAck;
import reactor.netty.tcp.TcpResources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the transport on real sockets. Guards against messages that are lost or
 * attributed to the wrong peer, and against malformed input or an unresponsive peer that
 * affects other links.
 */
class PeerTransportTests {

	private static final String LOOPBACK = "127.0.0.1";

	private static final VmName A = new VmName("entry-01");

	private static final VmName B = new VmName("entry-02");

	private static final long TIMEOUT_SECONDS = 10;

	private final Map<VmName, InetSocketAddress> addresses = new HashMap<>();

	private final BlockingQueue<Event> eventsOfA = new LinkedBlockingQueue<>();

	private final BlockingQueue<Event> eventsOfB = new LinkedBlockingQueue<>();

	private PeerTransport a;

	private PeerTransport b;

	@BeforeEach
	void start() throws Exception {
		this.a = startTransport(A, 1, this.eventsOfA);
		this.b = startTransport(B, 2, this.eventsOfB);
	}

	@AfterEach
	void stop() {
		this.a.close();
		this.b.close();
	}

	private PeerTransport startTransport(VmName vm, int incarnationSalt, BlockingQueue<Event> events) throws Exception {
		return startTransport(vm, incarnationSalt, events, LOOPBACK);
	}

	private PeerTransport startTransport(VmName vm, int incarnationSalt, BlockingQueue<Event> events, String host)
			throws Exception {
		PeerTransport transport = new PeerTransport(new ProcessIdentity(vm, new Incarnation(1, incarnationSalt)),
				() -> "demo", this.addresses::get, events::add, TcpResources.get());
		transport.listen(host, 0);
		this.addresses.put(vm, new InetSocketAddress(host, transport.port()));
		return transport;
	}

	@Test
	void sendsMessagesInBothDirectionsOverOneLink() throws Exception {
		this.a.keepLinks(Set.of(B));
		assertThat(nextEvent(this.eventsOfA)).isEqualTo(new PeerConnected(B, new Incarnation(1, 2)));
		assertThat(nextEvent(this.eventsOfB)).isEqualTo(new PeerConnected(A, new Incarnation(1, 1)));
		this.a.send(B, new SuspectNoticeAck(1));
		this.b.send(A, new SuspectNoticeAck(2));
		assertThat(nextEvent(this.eventsOfB)).isEqualTo(new PeerMessageReceived(A, new SuspectNoticeAck(1)));
		assertThat(nextEvent(this.eventsOfA)).isEqualTo(new PeerMessageReceived(B, new SuspectNoticeAck(2)));
		assertThat(this.b.counters().links()).isEqualTo(1);
	}

	// A VM may have several addresses, and peers reject a link from another than the
	// published one.
	@Test
	void linksComeFromThePublishedAddress() throws Exception {
		this.a.close();
		this.b.close();
		this.a = startTransport(A, 1, this.eventsOfA, "127.0.0.2");
		this.b = startTransport(B, 2, this.eventsOfB, "127.0.0.3");
		this.a.send(B, new SuspectNoticeAck(1));
		assertThat(nextEvent(this.eventsOfB)).isEqualTo(new PeerConnected(A, new Incarnation(1, 1)));
		assertThat(nextEvent(this.eventsOfB)).isEqualTo(new PeerMessageReceived(A, new SuspectNoticeAck(1)));
	}

	@Test
	void opensALinkOnDemandAndReportsItsLoss() throws Exception {
		this.a.send(B, new SuspectNoticeAck(1));
		assertThat(nextEvent(this.eventsOfB)).isInstanceOf(PeerConnected.class);
		assertThat(nextEvent(this.eventsOfB)).isEqualTo(new PeerMessageReceived(A, new SuspectNoticeAck(1)));
		this.b.close();
		assertThat(nextEvent(this.eventsOfA)).isInstanceOf(PeerConnected.class);
		assertThat(nextEvent(this.eventsOfA)).isEqualTo(new PeerLost(B));
	}

	@Test
	void reportsARefusedConnection() throws Exception {
		this.b.close();
		this.a.send(B, new SuspectNoticeAck(1));
		assertThat(nextEvent(this.eventsOfA)).isEqualTo(new PeerRefused(B));
		assertThat(this.a.counters().dropped()).isEqualTo(1);
	}

	@Test
	void closesTheLinkOnMalformedAndOversizedFrames() throws Exception {
		assertClosesConnectionAfter("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		assertClosesConnectionAfter(new byte[] { 0, 0, 0, 2, (byte) 0x92, 99 });
		assertClosesConnectionAfter(new byte[] { 0x7f, 0, 0, 0 });
		assertThat(this.b.counters().rejected()).isEqualTo(3);
		this.a.send(B, new SuspectNoticeAck(1));
		assertThat(nextEvent(this.eventsOfB)).isInstanceOf(PeerConnected.class);
		assertThat(nextEvent(this.eventsOfB)).isEqualTo(new PeerMessageReceived(A, new SuspectNoticeAck(1)));
	}

	@Test
	void closesALinkWhoseFirstFrameIsTooLargeForAHello() throws Exception {
		assertClosesConnectionAfter(new byte[] { 0, 0, 4, 1 });
		assertThat(this.b.counters().rejected()).isEqualTo(1);
	}

	@Test
	void closesTheOldestOfTooManyLinksWithoutAHello() throws Exception {
		List<Socket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < 200; i++) {
				sockets.add(new Socket(LOOPBACK, this.b.port()));
			}
			Socket oldest = sockets.getFirst();
			oldest.setSoTimeout(1_000);
			assertThat(oldest.getInputStream().readAllBytes()).isNotEmpty();
			this.a.send(B, new SuspectNoticeAck(1));
			assertThat(nextEvent(this.eventsOfB)).isInstanceOf(PeerConnected.class);
		}
		finally {
			for (Socket socket : sockets) {
				socket.close();
			}
		}
	}

	@Test
	void closesALinkToAnotherDeployment() throws Exception {
		PeerTransport other = new PeerTransport(new ProcessIdentity(A, new Incarnation(1, 3)), () -> "other",
				this.addresses::get, (event) -> {
				}, TcpResources.get());
		other.send(B, new SuspectNoticeAck(1));
		assertThat(this.eventsOfB.poll(1, TimeUnit.SECONDS)).isNull();
		assertThat(this.b.counters().rejected()).isGreaterThanOrEqualTo(1);
		other.close();
	}

	@Test
	void closesALinkOnWhichNothingIsReceived() throws Exception {
		try (ServerSocket silentServer = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
			VmName c = new VmName("entry-03");
			this.addresses.put(c, new InetSocketAddress(LOOPBACK, silentServer.getLocalPort()));
			this.a.send(c, new SuspectNoticeAck(1));
			try (Socket socket = silentServer.accept()) {
				socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
				InputStream in = socket.getInputStream();
				assertThat(in.readAllBytes()).isNotEmpty();
				assertThat(nextEvent(this.eventsOfA)).isEqualTo(new PeerLost(c));
				assertThat(this.a.counters().dropped()).isEqualTo(1);
			}
		}
	}

	private void assertClosesConnectionAfter(byte[] bytes) throws Exception {
		try (Socket socket = new Socket(LOOPBACK, this.b.port())) {
			socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
			socket.getOutputStream().write(bytes);
			socket.getOutputStream().flush();
			try {
				socket.getInputStream().readAllBytes();
			}
			catch (SocketException ex) {
				assertThat(ex).hasMessageContaining("reset");
			}
		}
	}

	private static Event nextEvent(BlockingQueue<Event> events) throws InterruptedException {
		Event event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
		assertThat(event).isNotNull();
		return event;
	}

}
