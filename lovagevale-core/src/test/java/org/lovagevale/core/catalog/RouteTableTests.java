package org.lovagevale.core.catalog;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class RouteTableTests {

	private static Route route(String name, String host, String prefix, TrafficShare... shares) {
		return new Route(name, host, prefix, RequestKind.IDEMPOTENT, 2_000, 400, 1, 2, List.of(shares),
				Set.of(new Region("west")));
	}

	private static TrafficShare share(String service, double weight) {
		return new TrafficShare(new ServiceName(service), weight);
	}

	@Test
	void longestPrefixWins() {
		RouteTable table = RouteTable.of(List.of(route("short", "a.example", "/x/", share("s", 1)),
				route("long", "a.example", "/x/y/", share("s", 1))));
		assertThat(table.find("a.example", "/x/y/z")).extracting(Route::name).isEqualTo("long");
		assertThat(table.find("A.Example:8080", "/x/z")).extracting(Route::name).isEqualTo("short");
		assertThat(table.find("a.example", "/x")).isNull();
		assertThat(table.find("b.example", "/x/")).isNull();
	}

	@Test
	void positionsAreDistributedByWeight() {
		Route route = route("split", "a", "/", share("first", 90), share("second", 10));
		assertThat(route.serviceAt(0)).hasToString("first");
		assertThat(route.serviceAt(0.899)).hasToString("first");
		assertThat(route.serviceAt(0.901)).hasToString("second");
		assertThat(route.serviceAt(0.999_999)).hasToString("second");
	}

	@Test
	void homeRegionsRestrictWhereRequestsAreServed() {
		Route route = route("home", "a", "/", share("first", 1));
		assertThat(route.isAllowedIn(new Region("west"))).isTrue();
		assertThat(route.isAllowedIn(new Region("east"))).isFalse();
	}

	@Test
	void routeNeedsService() {
		assertThatIllegalArgumentException().isThrownBy(() -> route("none", "a", "/")).withMessageContaining("none");
	}

}
