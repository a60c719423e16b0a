package org.lovagevale.core.event;

import org.jspecify.annotations.Nullable;
import org.lovagevale.base.AccountName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.core.RequestId;

/**
 * A caller asked which addresses to use.
 *
 * <p>
 * Immutable and thread-safe.
 *
 * @param id identifies the question
 * @param service the service
 * @param account the client account, or null
 * @param callerAddress the IP number of the caller
 */
public record AddressesAsked(RequestId id, ServiceName service, @Nullable AccountName account,
		String callerAddress) implements Event {
}
