package org.lovagevale.core.fleet;

import java.util.Comparator;
import java.util.List;

import org.lovagevale.settings.model.EntryVm;

/**
 * Rendezvous hashing. Every process ranks the VMs for an item in the same order, and
 * adding or removing a VM reassigns only the items of that VM.
 *
 * <p>
 * Thread-safe.
 */
public final class RendezvousHash {

	// FNV-1a, 64 bits.
	private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

	private static final long FNV_PRIME = 0x100000001b3L;

	// Finalizer of SplitMix64. FNV alone orders names that differ only in their last
	// character in the same way for every item.
	private static final long SPLITMIX_MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;

	private static final long SPLITMIX_MULTIPLIER_2 = 0x94d049bb133111ebL;

	private RendezvousHash() {
	}

	/**
	 * Computes the score of a candidate.
	 * @param item the item to be assigned
	 * @param candidate the name of a candidate for the item
	 * @return the score; the highest, compared as signed numbers, ranks first
	 */
	public static long score(String item, String candidate) {
		long hash = fnv1a(fnv1a(fnv1a(FNV_OFFSET_BASIS, item), "\0"), candidate);
		hash = (hash ^ (hash >>> 30)) * SPLITMIX_MULTIPLIER_1;
		hash = (hash ^ (hash >>> 27)) * SPLITMIX_MULTIPLIER_2;
		return hash ^ (hash >>> 31);
	}

	static List<EntryVm> rank(String item, List<EntryVm> candidates) {
		return candidates.stream()
			.map((vm) -> new ScoredVm(vm, score(item, vm.name().value())))
			.sorted(ScoredVm.BEST_FIRST)
			.map(ScoredVm::vm)
			.toList();
	}

	private static long fnv1a(long hash, String text) {
		long result = hash;
		for (int i = 0; i < text.length(); i++) {
			result = (result ^ text.charAt(i)) * FNV_PRIME;
		}
		return result;
	}

	/**
	 * A candidate with its score.
	 *
	 * @param vm the candidate
	 * @param score its score, higher is better
	 */
	private record ScoredVm(EntryVm vm, long score) {

		static final Comparator<ScoredVm> BEST_FIRST = Comparator.comparingLong(ScoredVm::score)
			.reversed()
			.thenComparing((scored) -> scored.vm().name());

	}

}
