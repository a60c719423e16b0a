package org.lovagevale.core.message;

/**
 * A message between entry processes that share the work of a region.
 *
 * <p>
 * These carry no settings tree and no idempotency keys; processes that are driven by a
 * settings tree ignore them.
 */
public sealed interface RegionMessage extends PeerMessage permits RosterBeat, RosterList, RosterSummary, RosterRequest,
		CatalogNews, CatalogRequest, SlotAsk, SlotGranted, SlotQueued, SlotRefused, SlotCancelled, SlotReturned {

}
