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
 * Guards against a relay that forwards bytes during a simulated partition, loses held
 * bytes when the partition ends, or leaves connections open after a reset. Tests that use
 * such a relay would not simulate the fault that they mean to.
 */
class TcpRelayTests {

	private static final InetAddress HOST = InetAddress.getLoopbackAddress();

	private ServerSocket target;

	private TcpRelay relay;

	private Socket sourceSide;

	private Socket targetSide;

	@BeforeEach
	void open() throws IOException {
		this.target = new ServerSocket(0, 1, HOST);
		this.relay = new TcpRelay("r", new InetSocketAddress(HOST, this.target.getLocalPort()));
		this.sourceSide = new Socket(HOST, this.relay.start(HOST.getHostAddress(), 0));
		this.targetSide = this.target.accept();
		this.sourceSide.setSoTimeout(5_000);
		this.targetSide.setSoTimeout(5_000);
	}

	@AfterEach
	void close() throws IOException {
		this.sourceSide.close();
		this.targetSide.close();
		this.relay.close();
		this.target.close();
	}

	@Test
	void holdsBytesOfOneDirectionUntilPartitionEnds() throws IOException {
		this.relay.change((rules) -> new RelayRules(LinkMode.HOLD, LinkMode.FORWARD, 0, false));
		this.sourceSide.getOutputStream().write('a');
		this.targetSide.getOutputStream().write('b');
		assertThat(this.sourceSide.getInputStream().read()).isEqualTo('b');
		this.targetSide.setSoTimeout(200);
		assertThatThrownBy(() -> this.targetSide.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
		this.relay.change((rules) -> RelayRules.forward());
		this.targetSide.setSoTimeout(5_000);
		assertThat(this.targetSide.getInputStream().read()).isEqualTo('a');
	}

	@Test
	void delaysEachChunk() throws IOException {
		this.relay.change((rules) -> new RelayRules(LinkMode.FORWARD, LinkMode.FORWARD, 100, false));
		long begin = System.nanoTime();
		this.sourceSide.getOutputStream().write('a');
		assertThat(this.targetSide.getInputStream().read()).isEqualTo('a');
		assertThat(Duration.ofNanos(System.nanoTime() - begin)).isGreaterThanOrEqualTo(Duration.ofMillis(99));
	}

	@Test
	void resetsConnectionsOnBothSides() {
		this.relay.reset();
		assertThatThrownBy(() -> this.sourceSide.getInputStream().read()).isInstanceOf(IOException.class)
			.isNotInstanceOf(SocketTimeoutException.class);
		assertThatThrownBy(() -> this.targetSide.getInputStream().read()).isInstanceOf(IOException.class)
			.isNotInstanceOf(SocketTimeoutException.class);
	}

	@Test
	void holdsResetUntilPartitionEnds() throws IOException {
		this.relay.change((rules) -> RelayRules.partition());
		this.sourceSide.setSoLinger(true, 0);
		this.sourceSide.close();
		this.targetSide.setSoTimeout(200);
		assertThatThrownBy(() -> this.targetSide.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
		this.relay.change((rules) -> RelayRules.forward());
		this.targetSide.setSoTimeout(5_000);
		assertThatThrownBy(() -> this.targetSide.getInputStream().read()).isInstanceOf(IOException.class)
			.isNotInstanceOf(SocketTimeoutException.class);
	}

	@Test
	void forwardsEndOfStreamInOneDirectionOnly() throws IOException {
		this.sourceSide.shutdownOutput();
		assertThat(this.targetSide.getInputStream().read()).isEqualTo(-1);
		this.targetSide.getOutputStream().write('b');
		assertThat(this.sourceSide.getInputStream().read()).isEqualTo('b');
	}

}
