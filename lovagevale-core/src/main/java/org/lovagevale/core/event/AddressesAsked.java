package org.lovagevale.core.event;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.RequestId;

/**
 * A caller requested the addresses of entry VMs for a service.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the identifier of the request for addresses
 * @param service the service
 * @param account the client account, or null if none was given
 * @param callerAddress the IP address of the caller
 */
public record AddressesAsked(RequestId id, ServiceName service, @Nullable AccountName account,
		String callerAddress) implements Event {
}
