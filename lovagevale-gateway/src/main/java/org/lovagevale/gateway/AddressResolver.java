package org.lovagevale.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;

/**
 * Resolves the addresses of the entry VMs to which a caller should connect.
 *
 * <p>
 * A caller gets the serving VMs of its own failure domain if there are at least
 * {@link #MIN_ADDRESSES}, which keeps traffic between failure domains low, and otherwise
 * those of the whole region. Not thread-safe; must be used on the event loop.
 */
public final class AddressResolver {

	/**
	 * Minimum number of serving VMs in a failure domain for its callers to get only
	 * these. With fewer, a caller would depend too much on a single VM.
	 */
	public static final int MIN_ADDRESSES = 2;

	/** Maximum number of addresses that are returned. */
	public static final int MAX_ADDRESSES = 64;

	private final Roster roster;

	/**
	 * Creates a resolver.
	 * @param roster the known entry processes
	 */
	public AddressResolver(Roster roster) {
		this.roster = roster;
	}

	/**
	 * Returns the addresses of the entry VMs for a caller.
	 * @param domain the failure domain of the caller, or {@code null} if it is not known
	 * @return the addresses; empty if no VM is serving
	 */
	public List<HostPort> resolve(@Nullable String domain) {
		List<RosterMember> serving = this.roster.serving();
		List<RosterMember> sameDomain = serving.stream()
			.filter((member) -> member.domain().value().equals(domain))
			.toList();
		List<RosterMember> chosen = (sameDomain.size() >= MIN_ADDRESSES) ? sameDomain : serving;
		return chosen.stream()
			.limit(MAX_ADDRESSES)
			.map((member) -> new HostPort(member.host(), member.callerPort()))
			.toList();
	}

}
