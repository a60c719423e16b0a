package org.lovagevale.standins.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a relay that lets bytes through a partition, loses bytes when it heals,
 * or leaves connections open after a reset.
 */
class TcpRelayTests {

	private static final InetAddress HOST = InetAddress.getLoopbackAddress();

	private ServerSocket target;

	private TcpRelay relay;

	private Socket near;

	private Socket far;

	@BeforeEach
	void open() throws IOException {
		this.target = new ServerSocket(0, 1, HOST);
		this.relay = new TcpRelay("r", new InetSocketAddress(HOST, this.target.getLocalPort()));
		this.near = new Socket(HOST, this.relay.start(HOST.getHostAddress(), 0));
		this.far = this.target.accept();
		this.near.setSoTimeout(5_000);
		this.far.setSoTimeout(5_000);
	}

	@AfterEach
	void close() throws IOException {
		this.near.close();
		this.far.close();
		this.relay.close();
		this.target.close();
	}

	@Test
	void holdsOneDirectionAndDeliversWhenItHeals() throws IOException {
		this.relay.change((rules) -> new RelayRules(LinkMode.HOLD, LinkMode.FORWARD, 0, false));
		this.near.getOutputStream().write('a');
		this.far.getOutputStream().write('b');
		assertThat(this.near.getInputStream().read()).isEqualTo('b');
		this.far.setSoTimeout(200);
		assertThatThrownBy(() -> this.far.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
		this.relay.change((rules) -> RelayRules.forward());
		this.far.setSoTimeout(5_000);
		assertThat(this.far.getInputStream().read()).isEqualTo('a');
	}

	@Test
	void delaysEachChunk() throws IOException {
		this.relay.change((rules) -> new RelayRules(LinkMode.FORWARD, LinkMode.FORWARD, 100, false));
		long begin = System.nanoTime();
		this.near.getOutputStream().write('a');
		assertThat(this.far.getInputStream().read()).isEqualTo('a');
		assertThat(Duration.ofNanos(System.nanoTime() - begin)).isGreaterThanOrEqualTo(Duration.ofMillis(99));
	}

	@Test
	void resetBreaksBothSides() {
		this.relay.reset();
		assertThatThrownBy(() -> this.near.getInputStream().read()).isInstanceOf(IOException.class)
			.isNotInstanceOf(SocketTimeoutException.class);
		assertThatThrownBy(() -> this.far.getInputStream().read()).isInstanceOf(IOException.class)
			.isNotInstanceOf(SocketTimeoutException.class);
	}

	@Test
	void holdsTheResetOfADirectionUntilItHeals() throws IOException {
		this.relay.change((rules) -> RelayRules.partition());
		this.near.setSoLinger(true, 0);
		this.near.close();
		this.far.setSoTimeout(200);
		assertThatThrownBy(() -> this.far.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
		this.relay.change((rules) -> RelayRules.forward());
		this.far.setSoTimeout(5_000);
		assertThatThrownBy(() -> this.far.getInputStream().read()).isInstanceOf(IOException.class)
			.isNotInstanceOf(SocketTimeoutException.class);
	}

	@Test
	void passesOnTheEndOfOneDirectionOnly() throws IOException {
		this.near.shutdownOutput();
		assertThat(this.far.getInputStream().read()).isEqualTo(-1);
		this.far.getOutputStream().write('b');
		assertThat(this.near.getInputStream().read()).isEqualTo('b');
	}

}
