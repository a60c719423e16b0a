package org.lovagevale.standins.platform;

import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Finds the names of entry VMs and backend servers in a settings tree, even if the tree
 * is not a valid configuration.
 *
 * <p>
 * Thread-safe.
 */
final class SettingsTreeNames {

	private static final Set<String> MEMBERS_KEYED_BY_NAME = Set.of("entryVms", "servers");

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS, JsonReadFeature.ALLOW_TRAILING_COMMA)
		.build();

	private SettingsTreeNames() {
	}

	static Set<String> find(String content) {
		Set<String> result = new TreeSet<>();
		try {
			collectNames(MAPPER.readTree(content), result);
		}
		catch (JsonProcessingException ex) {
			// The platform publishes any text; text that is not JSON contains no names.
			return Set.of();
		}
		return result;
	}

	private static void collectNames(JsonNode node, Set<String> result) {
		node.fields().forEachRemaining((member) -> {
			if (MEMBERS_KEYED_BY_NAME.contains(member.getKey())) {
				member.getValue().fieldNames().forEachRemaining(result::add);
			}
			collectNames(member.getValue(), result);
		});
	}

}
