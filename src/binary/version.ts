declare const MARTENBAY_VERSION: string | undefined;

/** Version of the build; the bundler sets it from the package's version. */
export const VERSION = typeof MARTENBAY_VERSION === 'string' ? MARTENBAY_VERSION : 'development';
