declare const MARTENBAY_VERSION: string | undefined;

/** Set by the bundler from the version in `package.json`. */
export const VERSION = typeof MARTENBAY_VERSION === 'string' ? MARTENBAY_VERSION : 'development';
