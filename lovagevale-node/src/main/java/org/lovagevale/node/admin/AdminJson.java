package org.lovagevale.node.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import org.lovagevale.base.ServerName;
import org.lovagevale.base.ServiceName;
import org.lovagevale.base.VmName;
import org.lovagevale.core.Incarnation;
import org.lovagevale.core.RequestId;

/**
 * Serializes the responses of the admin port to JSON.
 *
 * <p>
 * Names and identifiers are written as strings. Thread-safe.
 */
final class AdminJson {

	private static final ObjectMapper MAPPER = newMapper();

	private AdminJson() {
	}

	private static ObjectMapper newMapper() {
		SimpleModule names = new SimpleModule();
		names.addSerializer(VmName.class, ToStringSerializer.instance);
		names.addSerializer(ServerName.class, ToStringSerializer.instance);
		names.addSerializer(ServiceName.class, ToStringSerializer.instance);
		names.addSerializer(Incarnation.class, ToStringSerializer.instance);
		names.addSerializer(RequestId.class, ToStringSerializer.instance);
		return new ObjectMapper().registerModule(names).enable(SerializationFeature.INDENT_OUTPUT);
	}

	static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value) + "\n";
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialize a response of the admin port", ex);
		}
	}

}
