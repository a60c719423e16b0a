package org.lovagevale.settings;

import org.lovagevale.settings.model.Settings;

/**
 * A small valid tree that tests modify by replacing text. Tests expect errors and origins
 * in certain lines of it.
 */
final class MiniTree {

	static final String TEXT = """
			{
			"deployment": "mini",
			"defaults": { "timeoutMs": 4000, "homeRegions": ["west", "south"] },
			"regions": {
			"west": { "domains": { "west-1": { "entryVms": {
			"entry-01": { "host": "10.0.0.1", "callerPort": 1, "peerPort": 2, "adminPort": 3 }
			} } } },
			"south": { "domains": { "south-1": {} } },
			"north": { "domains": { "north-1": {} } }
			},
			"services": {
			"transfers": {
			"policy": { "priority": "critical", "homeRegions": ["west"] },
			"routes": {
			"POST /transfers": { "policy": { "timeoutMs": 500 } },
			"* /transfers": {},
			"GET /transfers": {}
			},
			"servers": {
			"transfers-01": { "domain": "west-1", "host": "10.0.0.2", "port": 1 },
			"transfers-02": { "domain": "south-1", "host": "10.0.0.3", "port": 1 }
			}
			}
			},
			"accounts": {
			"designers": { "weight": 5, "homeRegions": ["west", "north"],
			"accounts": { "designers-a": { "burst": 7 } } }
			}
			}
			""";

	private MiniTree() {
	}

	static String with(String text, String replacement) {
		if (!TEXT.contains(text)) {
			throw new IllegalArgumentException("not in the tree: " + text);
		}
		return TEXT.replace(text, replacement);
	}

	static Settings read(String content) throws SettingsException {
		return new JsonSettingsReader().read(1, content);
	}

}
