package org.lovagevale.standins.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against a demonstration that connects to the processes of another run, as
 * happened when two runs used the same ports.
 */
class PortsTests {

	@Test
	void shiftsOnlyPorts() {
		String tree = "{ \"port\": 18201, \"callerPort\":18101, \"timeoutMs\": 5000 } // 18201";
		assertThat(Ports.shift(tree, 10_000))
			.isEqualTo("{ \"port\": 28201, \"callerPort\":28101, \"timeoutMs\": 5000 } // 18201");
	}

	@Test
	void rejectsPortInUse() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			assertThatThrownBy(() -> Ports.checkFree(List.of(socket.getLocalPort()))).isInstanceOf(IOException.class)
				.hasMessageContaining("port " + socket.getLocalPort() + " is in use");
		}
	}

}
