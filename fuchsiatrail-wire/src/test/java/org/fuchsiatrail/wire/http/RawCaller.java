package org.fuchsiatrail.wire.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A caller that sends raw bytes over one connection and reads responses of known length from it. */
public final class RawCaller implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 5_000;

    private final Socket socket;

    private RawCaller(Socket socket) {
        this.socket = socket;
    }

    /**
     * Connects to a port on loopback.
     *
     * @param port the port
     * @return a caller with a read timeout of some seconds
     * @throws IOException if the connection is refused
     */
    public static RawCaller connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        return new RawCaller(socket);
    }

    /**
     * Sends bytes.
     *
     * @param text the bytes as ISO-8859-1
     * @return this caller
     * @throws IOException if the connection is closed
     */
    public RawCaller send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /**
     * Returns the socket, to close one of its sides or change its options.
     *
     * @return the socket
     */
    public Socket socket() {
        return socket;
    }

    /**
     * Reads until the connection ends.
     *
     * @return the bytes as ISO-8859-1
     * @throws IOException if the connection is reset or nothing is received for some seconds
     */
    public String readUntilEnd() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /**
     * Reads one response, whose head has a Content-Length.
     *
     * @return its head and body, or an empty string if the connection has ended
     * @throws IOException if the connection is reset or nothing is received for some seconds
     */
    public String readResponse() throws IOException {
        String head = readHead();
        int length = head.lines()
                .map(line -> line.toLowerCase(Locale.ROOT))
                .filter(line -> line.startsWith("content-length:"))
                .mapToInt(line ->
                        Integer.parseInt(line.substring(line.indexOf(':') + 1).strip()))
                .findFirst()
                .orElse(0);
        return head + new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
    }

    /**
     * Reads the head of one response.
     *
     * @return the head with the empty line that ends it, or what was received before the connection ended
     * @throws IOException if the connection is reset or nothing is received for some seconds
     */
    public String readHead() throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                break;
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Reads responses.
     *
     * @param count how many
     * @return the responses in the order in which they were received
     * @throws IOException if the connection is reset or nothing is received for some seconds
     */
    public List<String> readResponses(int count) throws IOException {
        List<String> responses = new ArrayList<>();
        while (responses.size() < count) {
            responses.add(readResponse());
        }
        return responses;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
