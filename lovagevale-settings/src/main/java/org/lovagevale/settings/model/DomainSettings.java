package org.lovagevale.settings.model;

import org.lovagevale.base.FailureDomain;
import org.lovagevale.base.Region;

/**
 * A failure domain of the settings tree.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the name
 * @param region its region
 * @param out whether it or its region is out of service
 */
public record DomainSettings(FailureDomain name, Region region, boolean out) {
}
