package org.lovagevale.core.fleet;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.FailureDomain;
import org.lovagevale.core.AuditRecorder;
import org.lovagevale.settings.model.DomainSettings;
import org.lovagevale.settings.model.Settings;

/**
 * Records in the audit trail which failure domains a settings version takes out of
 * service or returns to service.
 *
 * <p>
 * Thread-safe.
 */
final class DomainAudit {

	private DomainAudit() {
	}

	static void recordChanges(AuditRecorder audit, @Nullable Settings previous, Settings settings) {
		Map<FailureDomain, Boolean> wasOut = new HashMap<>();
		if (previous != null) {
			previous.domains().forEach((domain) -> wasOut.put(domain.name(), domain.out()));
		}
		for (DomainSettings domain : settings.domains()) {
			if (domain.out() != wasOut.getOrDefault(domain.name(), false)) {
				audit.add(domain.out() ? "domain.out" : "domain.back", "domain", domain.name(), "version",
						settings.version());
			}
		}
	}

}
