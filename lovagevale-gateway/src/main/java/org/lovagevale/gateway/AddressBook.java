package org.lovagevale.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.lovagevale.core.roster.Roster;
import org.lovagevale.core.roster.RosterMember;

/**
 * Tells callers which entry VMs to use.
 *
 * <p>
 * Callers get the serving VMs of their own failure domain if there are at least
 * {@link #MIN_ADDRESSES}, so that few bytes cross failure domains, else those of the
 * region. Confined to the event loop.
 */
public final class AddressBook {

	/** With fewer addresses a caller depends too much on one VM. */
	public static final int MIN_ADDRESSES = 2;

	/** The most addresses that one answer names. */
	public static final int MAX_ADDRESSES = 64;

	private final Roster roster;

	/**
	 * Creates a book.
	 * @param roster the known entry processes
	 */
	public AddressBook(Roster roster) {
		this.roster = roster;
	}

	/**
	 * Returns addresses for a caller.
	 * @param domain the failure domain of the caller, or {@code null} if it is not known
	 * @return the addresses; empty if no VM serves
	 */
	public List<HostPort> addresses(@Nullable String domain) {
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
