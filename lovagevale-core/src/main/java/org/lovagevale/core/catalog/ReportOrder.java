package org.lovagevale.core.catalog;

import org.jspecify.annotations.Nullable;

/**
 * Decides which of the reports published under the key of one server stand.
 *
 * <p>
 * A report that was made before the accepted one is ignored, since reports may be
 * published out of order. Their order follows from figures that the sender chose, and an
 * entry of another writer may have any figures. So a second report in a row that
 * continues the ignored one stands: it comes from the server itself. Invariant: of one
 * run, no report that is not draining is accepted after one that is. Not thread-safe.
 */
final class ReportOrder {

	private CatalogItem.ListedServer accepted;

	private CatalogItem.@Nullable ListedServer ignored;

	ReportOrder(CatalogItem.ListedServer first) {
		this.accepted = first;
	}

	/**
	 * Accepts or ignores the next report.
	 * @param next the report
	 * @return {@code true} if it stands
	 */
	boolean accept(CatalogItem.ListedServer next) {
		boolean sameRun = next.instance().startedAtEpochMs() == this.accepted.instance().startedAtEpochMs();
		boolean draining = next.instance().draining();
		if (next.isOlderThan(this.accepted) && !(sameRun && draining)) {
			boolean revertsDraining = sameRun && this.accepted.instance().draining();
			if (revertsDraining || !continuesIgnored(next)) {
				this.ignored = next;
				return false;
			}
		}
		this.accepted = next;
		this.ignored = null;
		return true;
	}

	/**
	 * Accepts or ignores a report that is published again after the server had left. A
	 * copy of the store has the reports that were made before.
	 * @param next the report
	 * @return {@code true} if it was made after the accepted one
	 */
	boolean acceptAfterRestore(CatalogItem.ListedServer next) {
		if (!this.accepted.isOlderThan(next)) {
			this.ignored = next;
			return false;
		}
		this.accepted = next;
		this.ignored = null;
		return true;
	}

	private boolean continuesIgnored(CatalogItem.ListedServer next) {
		CatalogItem.ListedServer known = this.ignored;
		return known != null && known.isOlderThan(next);
	}

}
