package org.lovagevale.core.placing;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.catalog.BackendInstance;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against several VMs that together place more requests on a server than it has
 * slots.
 */
class LoneShareTests {

	private static final int SLOTS = 3;

	private static BackendInstance server(int number) {
		return new BackendInstance(new ServerName("s-" + number), DispatcherFixture.SERVICE, "127.0.0.1", 80,
				DispatcherFixture.DOMAIN, DispatcherFixture.WEST, SLOTS, false, 0, 1);
	}

	@Test
	void vmsTogetherUseTheSlotsOfEachServerOnce() {
		for (int count : new int[] { 1, 2, 3, 4, 7, 46 }) {
			List<VmName> vms = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				vms.add(new VmName("vm-" + i));
			}
			for (int number = 0; number < 40; number++) {
				BackendInstance server = server(number);
				int sum = vms.stream().mapToInt((vm) -> LoneShare.maxRequests(server, SLOTS, vm, vms)).sum();
				assertThat(sum).as("%s VMs", count).isEqualTo(SLOTS);
			}
		}
	}

	@Test
	void vmThatKnowsNoOthersUsesAllSlots() {
		assertThat(LoneShare.maxRequests(server(1), SLOTS, DispatcherFixture.VM, List.of())).isEqualTo(SLOTS);
	}

}
