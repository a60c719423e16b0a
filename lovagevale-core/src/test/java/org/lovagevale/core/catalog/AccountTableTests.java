package org.lovagevale.core.catalog;

import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against ambiguous credentials, credentials in logs, and requests that are served
 * in a region which route or account exclude.
 */
class AccountTableTests {

	private static final Region WEST = new Region("west");

	private static final Region EAST = new Region("east");

	private static ClientAccount account(String name, OptionalInt priority, Set<Region> regions, String... keys) {
		return new ClientAccount(new AccountName(name), Set.of(keys), priority, RateLimit.NONE, regions);
	}

	private static ClientAccount account(String name, String... keys) {
		return account(name, OptionalInt.empty(), Set.of(), keys);
	}

	private static Route route(Region... regions) {
		return new Route("r", "a.example", "/", RequestKind.IDEMPOTENT, 2_000, 400, 3, 2,
				List.of(new TrafficShare(new ServiceName("s"), 1)), Set.of(regions));
	}

	@Test
	void accountIsFoundByEachOfItsCredentials() {
		AccountTable table = AccountTable.of(List.of(account("a", "k1", "k2"), account("b", "k3"), account("c")));
		assertThat(table.find("k2")).isSameAs(table.find("k1")).isSameAs(table.find(new AccountName("a")));
		assertThat(table.find("k4")).isNull();
		assertThat(table.accounts()).hasSize(3);
	}

	@Test
	void sharedCredentialsAndNamesAreRejectedWithoutShowingCredentials() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> AccountTable.of(List.of(account("a", "secret-1"), account("b", "secret-1"))))
			.withMessageContaining("share")
			.withMessageNotContaining("secret");
		assertThatIllegalArgumentException()
			.isThrownBy(() -> AccountTable.of(List.of(account("a", "k1"), account("a", "k2"))))
			.withMessageContaining("name");
		assertThatIllegalArgumentException().isThrownBy(() -> account("a", " "));
		assertThatIllegalArgumentException().isThrownBy(() -> account("a", OptionalInt.of(-1), Set.of()));
		assertThatIllegalArgumentException().isThrownBy(() -> new RateLimit(-1, 0));
		assertThatIllegalArgumentException().isThrownBy(() -> new RateLimit(1, Double.NaN));
		assertThat(account("a", "secret-1").toString()).doesNotContain("secret");
	}

	@Test
	void routeOfAnAccountHasItsPriorityAndTheCommonHomeRegions() {
		ClientAccount inWest = account("a", OptionalInt.of(0), Set.of(WEST));
		assertThat(route().forAccount(inWest)).extracting(Route::priority, Route::homeRegions)
			.containsExactly(0, Set.of(WEST));
		assertThat(route(WEST, EAST).forAccount(inWest)).extracting(Route::homeRegions).isEqualTo(Set.of(WEST));
		assertThat(route(EAST).forAccount(inWest)).isNull();
		assertThat(route(EAST).forAccount(account("b"))).extracting(Route::priority, Route::homeRegions)
			.containsExactly(3, Set.of(EAST));
	}

}
