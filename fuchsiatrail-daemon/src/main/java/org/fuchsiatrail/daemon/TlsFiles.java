package org.fuchsiatrail.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import java.util.function.Supplier;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.fuchsiatrail.wire.observe.LogLines;

/** Gives the TLS context of PEM files, read again when they change; damaged new files leave the old ones in use. */
final class TlsFiles implements Supplier<SslContext> {

    private final Path certificate;
    private final Path key;
    private SslContext context;
    private FileTime readOf;

    TlsFiles(Path certificate, Path key) throws IOException {
        this.certificate = certificate;
        this.key = key;
        this.readOf = newest();
        this.context = read();
    }

    /** Returns a supplier for the given files, or null when they are not set. */
    static TlsFiles of(String certificate, String key) throws IOException {
        return certificate.isEmpty() ? null : new TlsFiles(Path.of(certificate), Path.of(key));
    }

    @Override
    public synchronized SslContext get() {
        try {
            FileTime newest = newest();
            if (!newest.equals(readOf)) {
                readOf = newest;
                context = read();
                LogLines.info("tls", "Certificate read again.", Map.of("file", certificate));
            }
        } catch (IOException | RuntimeException e) {
            LogLines.error("tls", "New certificate is unusable; the old one stays.", e);
        }
        return context;
    }

    private FileTime newest() throws IOException {
        FileTime first = Files.getLastModifiedTime(certificate);
        FileTime second = Files.getLastModifiedTime(key);
        return first.compareTo(second) > 0 ? first : second;
    }

    private SslContext read() throws IOException {
        return SslContextBuilder.forServer(certificate.toFile(), key.toFile()).build();
    }
}
