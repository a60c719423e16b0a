package org.lovagevale.gateway.http;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.Region;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.catalog.AccountTable;
import org.lovagevale.core.catalog.ClientAccount;
import org.lovagevale.core.catalog.RateLimit;
import org.lovagevale.core.catalog.RequestKind;
import org.lovagevale.core.catalog.RequestLimits;
import org.lovagevale.core.catalog.Route;
import org.lovagevale.core.catalog.RouteTable;
import org.lovagevale.core.catalog.ServingConfiguration;
import org.lovagevale.core.catalog.TrafficShare;
import org.lovagevale.core.limit.AccountPolicy;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are admitted without a valid credential, and against a
 * final denial of a credential that may be new.
 */
class RequestAdmissionTests {

	private static final ClientAccount ACCOUNT = new ClientAccount(new AccountName("a"), Set.of("k1", "k2"),
			OptionalInt.of(0), RateLimit.NONE, Set.of(new Region("west")));

	private static final AccountPolicy STRICT = new AccountPolicy(5_000, 0.25, 20, true, 5_000);

	private final RequestAdmission admission = new RequestAdmission(AccountPolicy.DEFAULT);

	private final RequestAdmission strictAdmission = new RequestAdmission(STRICT);

	private static Route route(boolean isPublic, Region... regions) {
		return new Route("r", "a.example", "/", RequestKind.IDEMPOTENT, 2_000, 400, 3, 2,
				List.of(new TrafficShare(new ServiceName("s"), 1)), Set.of(regions), isPublic);
	}

	private static ServingConfiguration configuration(boolean withAccounts) {
		return new ServingConfiguration(1, RouteTable.of(List.of()), Map.of(), new RequestLimits(1, 1, 1, 1),
				withAccounts ? AccountTable.of(List.of(ACCOUNT)) : null);
	}

	private static DenialCause cause(Admission admission) {
		return ((Admission.Denied) admission).cause();
	}

	@Test
	void withoutAccountsOrOnAPublicRouteNoCredentialIsNeeded() {
		Route route = route(false);
		assertThat(this.admission.admit(null, route, configuration(false), 0))
			.isEqualTo(new Admission.Admitted(route, null));
		Route publicRoute = route(true);
		assertThat(this.strictAdmission.admit("other", publicRoute, configuration(true), 60_000))
			.isEqualTo(new Admission.Admitted(publicRoute, null));
	}

	@Test
	void requestOfAnAccountHasItsPriorityAndHomeRegions() {
		Admission.Admitted admitted = (Admission.Admitted) this.admission.admit("k2", route(false), configuration(true),
				60_000);
		assertThat(admitted.account()).isSameAs(ACCOUNT);
		assertThat(admitted.route().priority()).isZero();
		assertThat(admitted.route().homeRegions()).containsExactly(new Region("west"));
		assertThat(cause(this.admission.admit("k2", route(false, new Region("east")), configuration(true), 0)))
			.isEqualTo(DenialCause.NO_COMMON_REGION);
	}

	@Test
	void unknownCredentialIsDeniedFinallyOnlyWithARecentCatalog() {
		assertThat(cause(this.admission.admit(null, route(false), configuration(true), 60_000)))
			.isEqualTo(DenialCause.NO_CREDENTIAL);
		assertThat(cause(this.admission.admit("other", route(false), configuration(true), 2_000)))
			.isEqualTo(DenialCause.UNKNOWN_CREDENTIAL);
		assertThat(cause(this.admission.admit("other", route(false), configuration(true), 2_001)))
			.isEqualTo(DenialCause.STALE_CATALOG);
	}

	@Test
	void strictRevocationDeniesCredentialsWithoutConfirmation() {
		assertThat(this.strictAdmission.admit("k1", route(false), configuration(true), 4_999))
			.isInstanceOf(Admission.Admitted.class);
		assertThat(cause(this.strictAdmission.admit("k1", route(false), configuration(true), 5_000)))
			.isEqualTo(DenialCause.UNCONFIRMED_CATALOG);
		assertThat(this.admission.admit("k1", route(false), configuration(true), 60_000))
			.isInstanceOf(Admission.Admitted.class);
	}

}
