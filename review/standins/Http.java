package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads the heads and bodies of HTTP/1.1 messages.
 */
final class Http {

	static final String ID = "X-Lovagevale-Attempt-Id";

	static final String TIME_LEFT = "X-Lovagevale-Request-Deadline";

	static final String SIGNATURE = "X-Lovagevale-Server-Signature";

	static final String EXPECTED_INSTANCE = "X-Lovagevale-Expected-Instance";

	private Http() {
	}

	/** The start line and the headers of a message; names of headers in lower case. */
	record Head(String startLine, Map<String, String> headers) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		String[] startWords() {
			return this.startLine.split(" ", 3);
		}

		boolean isChunked() {
			return "chunked".equalsIgnoreCase(header("Transfer-Encoding"));
		}

		long length() {
			String length = header("Content-Length");
			return (length != null) ? Long.parseLong(length.trim()) : -1;
		}

	}

	/** Reads a head; returns null if the connection ends before its first byte. */
	static Head readHead(InputStream in) throws IOException {
		String startLine = readLine(in, true);
		if (startLine == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String line = readLine(in, false); !line.isEmpty(); line = readLine(in, false)) {
			int colon = line.indexOf(':');
			if (colon < 0) {
				throw new IOException("not a header: " + line);
			}
			headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		return new Head(startLine, headers);
	}

	static String readLine(InputStream in, boolean mayEnd) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				if (mayEnd && line.size() == 0) {
					return null;
				}
				throw new EOFException("ended in a line");
			}
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(next);
			if (line.size() > 65_536) {
				throw new IOException("line is too long");
			}
		}
	}

	/** Reads a body with a length or in chunks; an incomplete one is an EOFException. */
	static byte[] readBody(InputStream in, Head head) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		if (head.isChunked()) {
			while (true) {
				int size = Integer.parseInt(readLine(in, false).split(";")[0].trim(), 16);
				body.write(readExactly(in, size));
				readLine(in, false);
				if (size == 0) {
					return body.toByteArray();
				}
			}
		}
		return (head.length() > 0) ? readExactly(in, (int) head.length()) : new byte[0];
	}

	private static byte[] readExactly(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("ended after " + bytes.length + " of " + size + " bytes");
		}
		return bytes;
	}

}
