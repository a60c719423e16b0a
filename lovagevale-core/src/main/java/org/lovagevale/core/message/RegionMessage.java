package org.lovagevale.core.message;

/**
 * A message between the entry processes that share the load of a region.
 *
 * <p>
 * Such messages carry no settings tree and no idempotency keys. Processes that are
 * configured by a settings tree ignore them.
 */
public sealed interface RegionMessage extends PeerMessage permits RosterBeat, RosterList, RosterSummary, RosterRequest,
		CatalogNews, CatalogRequest, SlotAsk, SlotGranted, SlotQueued, SlotRefused, SlotCancelled, SlotReturned,
		SlotOffered, ServerLeaving, AccountAsk, AccountGrant, AccountDemand, RegionLoad {

}
